#pragma once

namespace fireflyrun::cli {

/// `fireflyrun get`; `argv[0]` is the subcommand's name. Returns the process's exit code: 0 done,
/// 1 findings, a lost race or a failure, 2 wrong usage.
int RunGet(int argc, char** argv);

}  // namespace fireflyrun::cli
