#pragma once

namespace fireflyrun::cli {

inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;  ///< Findings, a lost race, or the store not reached.
inline constexpr int kExitWrongUsage = 2;

}  // namespace fireflyrun::cli
