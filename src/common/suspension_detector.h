#pragma once

#include <functional>

#include "common/clock.h"

namespace fireflyrun {

/// Tells that the machine stood still for a while. The steady clock doesn't count such time, so
/// whatever is believed by it is older than it seems; the clock since boot does count it. The time
/// of day tells nothing, as it jumps.
class SuspensionDetector {
 public:
  using ClockHook = std::function<Duration()>;

  /// Of the operating system.
  SuspensionDetector();
  /// `boot_time` counts suspension, `steady_time` doesn't.
  SuspensionDetector(ClockHook boot_time, ClockHook steady_time);

  /// How long the machine was suspended since the last question; zero when it wasn't.
  Duration Check();

 private:
  Duration Offset() const;

  ClockHook boot;
  ClockHook steady;
  Duration last_offset;
};

}  // namespace fireflyrun
