#include "node/node_drain.h"

#include <utility>

#include "common/log.h"
#include "common/timer_service.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kCheckPeriod = std::chrono::milliseconds(50);
/// Requests that were on their way when the leaving was told arrive within this time.
constexpr Duration kIdleTime = std::chrono::milliseconds(1500);

}  // namespace

NodeDrain::NodeDrain(TimerService& timer_service, Duration drain_limit,
                     std::function<bool()> busy_hook)
    : timers(timer_service), limit(drain_limit), busy(std::move(busy_hook)) {}

void NodeDrain::Start(std::function<void()> on_drained) {
  this->done = std::move(on_drained);
  this->started = SteadyClock::now();
  this->idle_since = this->started;
  this->check_timer = this->timers.Every(kCheckPeriod, [this] { this->Check(); });
}

void NodeDrain::Check() {
  const SteadyTime now = SteadyClock::now();
  if (this->busy()) this->idle_since = now;
  const bool idle = now - this->idle_since >= kIdleTime;
  const bool given_up = now - this->started >= this->limit;
  if (!idle && !given_up) return;
  if (!idle) Log(LogLevel::kWarning, "node", "event=drain-limit-passed");
  this->check_timer.Reset();
  std::exchange(this->done, nullptr)();
}

}  // namespace fireflyrun::node
