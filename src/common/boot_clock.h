#pragma once

#include <chrono>

namespace fireflyrun {

/// Time since the host started. Unlike SteadyClock it counts the time for which the host was
/// suspended; like it, it isn't comparable between hosts.
struct BootClock {
  using rep = std::chrono::nanoseconds::rep;
  using period = std::chrono::nanoseconds::period;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  static time_point now() noexcept;  // NOLINT(readability-identifier-naming)
};

using BootTime = BootClock::time_point;

}  // namespace fireflyrun
