#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "common/timers.h"

namespace fireflyrun::platform {

/// Simulated time, which moves on only in RunFor(). Callbacks that are due at the same time run in
/// the order in which they were asked for, so each run of a test is the same.
class SimulatedTimers : public Timers {
 public:
  SteadyTime Now() const override { return this->now; }
  [[nodiscard]] TimerSubscription After(Duration delay, std::function<void()> callback) override;
  /// The first call comes after one whole period.
  [[nodiscard]] TimerSubscription Every(Duration period, std::function<void()> callback) override;

  /// Calls `callback` once after `delay`; it can't be cancelled.
  void Post(Duration delay, std::function<void()> callback);

  void RunFor(Duration time);

 private:
  struct Entry {
    std::function<void()> callback;
    Duration period{};  ///< Zero for one call.
    bool cancelled = false;
  };
  /// The time and the count of entries before.
  using Position = std::pair<SteadyTime, std::uint64_t>;

  TimerSubscription Subscribe(Duration delay, Duration period, std::function<void()> callback);
  void Add(Duration delay, const std::shared_ptr<Entry>& entry);
  void RunFirst();

  SteadyTime now{std::chrono::hours(1)};
  std::uint64_t added = 0;
  std::map<Position, std::shared_ptr<Entry>> entries;
};

}  // namespace fireflyrun::platform
