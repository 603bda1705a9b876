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

/// Starts components in order, monitors them, restarts failed ones with exponential backoff, and
/// stops them in reverse order. A supervisor can itself be a component of another one.
class Supervisor {
 public:
  Supervisor(TimerService& timer_service, std::string supervisor_name);

  void Add(Component component);

  /// Starts every component. If one fails, stops those already started and returns its error.
  tl::expected<void, std::string> Start();

  /// Stops every started component in reverse order, one after another.
  void Stop(std::function<void()> done);

  /// This supervisor as a component of another.
  Component AsComponent();

  /// Number of component restarts.
  std::size_t Restarts() const { return this->restarts; }

 private:
  struct Child {
    Component component;
    bool running = false;
    unsigned failures = 0;
    SteadyTime next_start;
  };

  tl::expected<void, std::string> StartChild(Child& child);
  void StopChildren(std::size_t count, std::function<void()> done);
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
