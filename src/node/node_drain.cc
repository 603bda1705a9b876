#include "node/node_drain.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "common/timer_service.h"
#include "node/node_settings.h"
#include "node/stop_times.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kCheckPeriod = std::chrono::milliseconds(50);
/// Covers the gaps between successive calls of one caller.
constexpr Duration kIdleTime = std::chrono::milliseconds(200);
/// A caller that lost its connection fetches its answer within this time or not at all.
constexpr Duration kUnclaimedAnswerTime = std::chrono::seconds(5);

}  // namespace

NodeDrain::NodeDrain(TimerService& timer_service, const NodeSettings& node_settings,
                     Hooks drain_hooks)
    : timers(timer_service), settings(node_settings), hooks(std::move(drain_hooks)) {}

void NodeDrain::Start(SteadyTime stop_began, std::function<void()> on_drained) {
  this->done = std::move(on_drained);
  this->started = stop_began;
  this->last_busy = SteadyClock::now();
  this->check_timer = this->timers.Every(kCheckPeriod, [this] { this->Check(); });
}

void NodeDrain::Check() {
  const SteadyTime now = SteadyClock::now();
  const StopTimes times = StopTimesOf(this->settings);
  const bool busy = this->hooks.busy();
  if (busy) this->last_busy = now;
  const Duration idle_time = now - this->last_busy;
  const Duration required_idle_time =
      this->hooks.has_unclaimed_answers() ? kUnclaimedAnswerTime : kIdleTime;
  const Duration elapsed = now - this->started;
  const bool limit_passed = elapsed >= times.drain_limit;
  const Duration arrival_limit =
      std::max(times.notice, times.target_service_limit + kTargetLeaveDelay);
  const bool drained = idle_time >= required_idle_time && elapsed >= arrival_limit;
  if (!busy && elapsed >= times.notice && !std::exchange(this->accepting_stopped, true)) {
    this->hooks.stop_accepting();
  }
  if (!drained && !limit_passed) return;
  this->check_timer.Reset();
  if (!drained) {
    Log(LogLevel::kWarning, "node", "event=drain-limit-passed");
    this->hooks.on_limit_passed();
  }
  std::exchange(this->done, nullptr)();
}

}  // namespace fireflyrun::node
