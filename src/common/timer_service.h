#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "common/clock.h"
#include "common/timer_subscription.h"
#include "common/timers.h"

namespace fireflyrun {

/// Calls subscribers back on the event loop, once or periodically. Not thread-safe: subscribe and
/// cancel on the loop's own thread. Destroying a subscription cancels it, also from inside its own
/// callback.
class TimerService : public Timers {
 public:
  explicit TimerService(asio::io_context& loop);
  ~TimerService() override = default;
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  SteadyTime Now() const override { return SteadyClock::now(); }

  [[nodiscard]] TimerSubscription After(Duration delay, std::function<void()> callback) override;

  /// Calls `callback` every `period`, first after one period with up to a tenth taken off at
  /// random, so that nodes started together do not act in step.
  [[nodiscard]] TimerSubscription Every(Duration period, std::function<void()> callback) override;

  /// The time until the next of this service's points in time that lie `period` apart, over 0 and
  /// at most `period`. Timers that wait for these points share wake-ups. Services have points of
  /// their own, so that nodes started together do not act in step.
  Duration UntilNextSlot(Duration period) const;

  asio::io_context& Loop() { return this->loop; }

  /// How long the event loop has been held up, at most: what it handles now may have waited as
  /// long.
  Duration LongestDelay() const;

  /// Timers that fired at least `kLateTimer` after their time: the event loop was held up.
  std::uint64_t LateTimers() const { return this->late_timers; }
  static constexpr Duration kLateTimer = std::chrono::milliseconds(250);

 private:
  struct Entry;

  TimerSubscription Subscribe(Duration first_delay, Duration period,
                              std::function<void()> callback);
  void Arm(const std::shared_ptr<Entry>& entry, Duration delay);
  void OnFired(SteadyTime due);

  asio::io_context& loop;
  Duration slot_offset;
  std::uint64_t late_timers = 0;
  SteadyTime last_fired = SteadyClock::now();
  SteadyTime held_up_since;  ///< When the first of the timers was due that fired late together.
  SteadyTime held_up_until;  ///< When the last of them fired.
};

}  // namespace fireflyrun
