#pragma once

namespace fireflyrun::cli {

inline constexpr int kExitDone = 0;
/// Findings, a write conflict, or a failure such as an unreachable store.
inline constexpr int kExitFailed = 1;
inline constexpr int kExitWrongUsage = 2;

}  // namespace fireflyrun::cli
