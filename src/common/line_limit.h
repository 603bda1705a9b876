#pragma once

#include <array>
#include <cstdint>

#include "common/clock.h"
#include "common/log_urgency.h"

namespace fireflyrun {

/// Bounds the lines of each second. What is less urgent leaves room for what is more urgent, and
/// what is left out is counted.
class LineLimit {
 public:
  using Counts = std::array<std::uint64_t, kLogUrgencies>;

  explicit LineLimit(std::uint32_t lines_per_second) : limit(lines_per_second) {}

  /// True if the line may be written; otherwise it counts as left out.
  bool Admit(LogUrgency urgency, SteadyTime now);
  /// Counts a line that was admitted and could not be kept after all.
  void CountLeftOut(LogUrgency urgency);

  /// What was left out since the last call, once in a second at most; all zero otherwise.
  Counts TakeReport(SteadyTime now);
  bool HasReport() const { return this->unreported; }
  const Counts& LeftOut() const { return this->left_out; }

 private:
  std::uint32_t limit;
  std::uint32_t used = 0;
  SteadyTime window_start;
  SteadyTime reported_at;
  bool unreported = false;
  Counts left_out{};  ///< Since the start.
  Counts reported{};
};

}  // namespace fireflyrun
