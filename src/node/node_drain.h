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
  /// `busy` tells whether any call is still open.
  NodeDrain(TimerService& timer_service, Duration drain_limit, std::function<bool()> busy_hook);

  /// Calls `done` once.
  void Start(std::function<void()> done);

 private:
  void Check();

  TimerService& timers;
  Duration limit;
  std::function<bool()> busy;
  std::function<void()> done;
  SteadyTime started;
  SteadyTime idle_since;
  TimerSubscription check_timer;
};

}  // namespace fireflyrun::node
