#include "node/admission_log.h"

#include <utility>

#include "common/log_event.h"
#include "node/request_log.h"
#include "policy/admission_controller.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kMinLogInterval = std::chrono::seconds(1);

}  // namespace

void AdmissionLog::LogIfChanged(const policy::AdmissionController& admission) {
  const auto level = admission.Level();
  if (level == this->last_logged_level) return;
  const SteadyTime now = SteadyClock::now();
  if (now - this->last_logged_at < kMinLogInterval) return;
  this->last_logged_at = now;
  const auto previous = std::exchange(this->last_logged_level, level);
  LogEvent(LogLevel::kInfo, "admission", "level-changed")
      .Add("from", LevelText(previous))
      .Add("to", LevelText(level))
      .Add("queue", admission.QueueLength())
      .Add("in_flight", admission.InFlight())
      .Add("limit", admission.Limit(now))
      .Add("retry_after_ms", admission.RetryAfter());
}

}  // namespace fireflyrun::node
