#pragma once

#include <functional>

#include "common/clock.h"
#include "common/timer_subscription.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::node {

struct NodeSettings;

/// Waits until a node has been idle for some time, or until the drain limit has passed.
class NodeDrain {
 public:
  struct Hooks {
    /// True while any call is open.
    std::function<bool()> busy;
    /// True while answers wait for their callers to fetch them; some callers may never return.
    std::function<bool()> has_unclaimed_answers;
    /// Runs once, when the notice has ended and no call is open: closes the server to new callers.
    std::function<void()> stop_accepting;
    /// Runs once, when the drain limit has passed although calls are open.
    std::function<void()> on_limit_passed;
  };

  /// Reads `node_settings` while it waits, so changes take effect at once.
  NodeDrain(TimerService& timer_service, const NodeSettings& node_settings, Hooks drain_hooks);

  /// Calls `done` once. The limits count from `stop_began`.
  void Start(SteadyTime stop_began, std::function<void()> done);

 private:
  void Check();

  TimerService& timers;
  const NodeSettings& settings;
  Hooks hooks;
  std::function<void()> done;
  SteadyTime started;
  SteadyTime last_busy;
  bool accepting_stopped = false;
  TimerSubscription check_timer;
};

}  // namespace fireflyrun::node
