#pragma once

namespace fireflyrun::cli {

/// Runs `fireflyrun status`; `argv[0]` is the subcommand's name. Returns the process's exit code:
/// 0 success, 1 findings, a write conflict or a failure, 2 wrong usage.
int RunStatus(int argc, char** argv);

}  // namespace fireflyrun::cli
