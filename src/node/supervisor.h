#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/clock.h"
#include "common/timer_subscription.h"
#include "node/component.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::node {

/// Starts parts in order, watches them, starts failed ones again with a growing delay, and stops
/// them in reverse order. A supervisor is a part of the one above it, which makes the tree.
class Supervisor {
 public:
  Supervisor(TimerService& timer_service, std::string supervisor_name);

  void Add(Component part);

  /// Starts every part; when one fails, those already started are stopped and its error returned.
  tl::expected<void, std::string> Start();

  /// Stops every started part, last one first, each after the one before it is done.
  void Stop(std::function<void()> done);

  /// This supervisor as a part of another.
  Component AsComponent();

  /// How often parts were started again.
  std::size_t Restarts() const { return this->restarts; }

 private:
  struct Child {
    Component part;
    bool running = false;
    unsigned failures = 0;
    SteadyTime next_start;
  };

  tl::expected<void, std::string> StartChild(Child& child);
  void StopFrom(std::size_t count, std::function<void()> done);
  void Watch();
  void Restart(Child& child);
  void ScheduleRestart(Child& child);

  TimerService& timers;
  std::string name;
  std::vector<Child> children;
  TimerSubscription watch_timer;
  std::size_t restarts = 0;
  bool stopping = false;
};

}  // namespace fireflyrun::node
