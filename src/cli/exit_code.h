#pragma once

namespace fireflyrun::cli {

/// Exit statuses of every subcommand.
enum class ExitCode {
  kDone = 0,
  kFailed = 1,  ///< Findings, a lost race, or a failure.
  kWrongUsage = 2,
};

constexpr int ToExitStatus(ExitCode code) { return static_cast<int>(code); }

}  // namespace fireflyrun::cli
