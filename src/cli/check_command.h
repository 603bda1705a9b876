#pragma once

namespace fireflyrun::cli {

/// `fireflyrun check`; `argv[0]` is the subcommand's name. Returns the process's exit code: 0 done,
/// 1 findings, a lost race or a failure, 2 wrong usage.
int RunCheck(int argc, char** argv);

}  // namespace fireflyrun::cli
