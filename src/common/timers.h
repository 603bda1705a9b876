#pragma once

#include <functional>

#include "common/clock.h"
#include "common/timer_subscription.h"

namespace fireflyrun {

/// The time, and calls at later times; in tests the time may be simulated. Callbacks run on the
/// event loop, never inside the call that takes them. Destroying a subscription cancels it, also
/// from inside its own callback.
class Timers {
 public:
  Timers() = default;
  virtual ~Timers() = default;
  Timers(const Timers&) = delete;
  Timers& operator=(const Timers&) = delete;

  virtual SteadyTime Now() const = 0;

  /// Calls `callback` once after `delay`.
  [[nodiscard]] virtual TimerSubscription After(Duration delay, std::function<void()> callback) = 0;

  /// Calls `callback` every `period`, first after one period or somewhat less.
  [[nodiscard]] virtual TimerSubscription Every(Duration period,
                                                std::function<void()> callback) = 0;
};

}  // namespace fireflyrun
