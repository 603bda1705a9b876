#include "node/admission_log.h"

#include <utility>

#include "common/log_event.h"
#include "node/request_log.h"
#include "policy/admission_controller.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kShortestPause = std::chrono::seconds(1);

}  // namespace

void AdmissionLog::Note(const policy::AdmissionController& admission) {
  const auto level = admission.Level();
  if (level == this->told) return;
  const SteadyTime now = SteadyClock::now();
  if (now - this->told_at < kShortestPause) return;
  this->told_at = now;
  const auto before = std::exchange(this->told, level);
  LogEvent(LogLevel::kInfo, "admission", "level-changed")
      .Add("from", LevelText(before))
      .Add("to", LevelText(level))
      .Add("queue", admission.QueueLength())
      .Add("in_flight", admission.InFlight())
      .Add("limit", admission.Limit(now))
      .Add("retry_after_ms", admission.RetryAfter());
}

}  // namespace fireflyrun::node
