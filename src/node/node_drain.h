#pragma once

#include <functional>

#include "common/clock.h"
#include "common/timer_subscription.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::node {

struct NodeSettings;

/// Waits until a node has been idle for a while, or until a limit has passed.
class NodeDrain {
 public:
  struct Hooks {
    /// True while any call is open.
    std::function<bool()> busy;
    /// True while answers wait for their callers to fetch them, some of whom may be gone.
    std::function<bool()> unclaimed;
    /// The notice is over and no call is open: nobody is left to be let in.
    std::function<void()> close_doors;
  };

  /// Follows the settings while it waits.
  NodeDrain(TimerService& timer_service, const NodeSettings& node_settings, Hooks drain_hooks);

  /// Calls `done` once.
  void Start(std::function<void()> done);

 private:
  void Check();

  TimerService& timers;
  const NodeSettings& settings;
  Hooks hooks;
  std::function<void()> done;
  SteadyTime started;
  SteadyTime last_busy;
  bool doors_closed = false;
  TimerSubscription check_timer;
};

}  // namespace fireflyrun::node
