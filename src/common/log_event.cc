#include "common/log_event.h"

#include "common/log.h"

namespace fireflyrun {
namespace {

constexpr std::size_t kUsualTextLength = 384;

}  // namespace

LogEvent::LogEvent(LogLevel record_level, std::string_view part, std::string_view event,
                   LogUrgency record_urgency)
    : level(record_level),
      urgency(record_urgency),
      active(LogEnabled(record_level) && AdmitLogLine(record_urgency)) {
  if (!this->active) return;
  this->text.reserve(kUsualTextLength);
  this->text.append("part=").append(part);
  AppendLogField("event", event, &this->text);
}

LogEvent::~LogEvent() {
  if (this->active) WriteLogLine(this->level, this->urgency, this->text);
}

}  // namespace fireflyrun
