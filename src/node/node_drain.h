#pragma once

#include <functional>

#include "common/clock.h"
#include "common/timer_subscription.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::node {

/// Waits until a node has been idle for a while, or until a limit has passed.
class NodeDrain {
 public:
  struct Hooks {
    /// True while any call is open.
    std::function<bool()> busy;
    /// True while answers wait for their callers to fetch them, some of whom may be gone.
    std::function<bool()> unclaimed;
  };

  /// Waits at least `notice`, and at most `drain_limit`.
  NodeDrain(TimerService& timer_service, Duration notice, Duration drain_limit, Hooks drain_hooks);

  /// Calls `done` once.
  void Start(std::function<void()> done);

 private:
  void Check();

  TimerService& timers;
  Duration shortest;
  Duration limit;
  Hooks hooks;
  std::function<void()> done;
  SteadyTime started;
  SteadyTime last_busy;
  TimerSubscription check_timer;
};

}  // namespace fireflyrun::node
