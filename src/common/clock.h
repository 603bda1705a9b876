#pragma once

#include <chrono>

namespace fireflyrun {

/// Monotonic time; never compared between hosts.
using SteadyClock = std::chrono::steady_clock;
using SteadyTime = SteadyClock::time_point;
using Duration = SteadyClock::duration;

constexpr std::chrono::microseconds ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration);
}

constexpr std::chrono::milliseconds ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace fireflyrun
