#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "common/log_fields.h"
#include "common/log_level.h"
#include "common/log_urgency.h"

namespace fireflyrun {

/// One record of the log, written when it is destroyed. Does nothing, and formats nothing, where
/// its level is off or the second has had its lines.
class LogEvent {
 public:
  LogEvent(LogLevel level, std::string_view part, std::string_view event,
           LogUrgency urgency = LogUrgency::kState);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& Add(std::string_view key, std::string_view value) {
    if (this->active) AppendLogField(key, value, &this->text);
    return *this;
  }
  template <std::integral Number>
  LogEvent& Add(std::string_view key, Number value) {
    if (this->active) AppendLogField(key, static_cast<std::int64_t>(value), &this->text);
    return *this;
  }
  LogEvent& Add(std::string_view key, double value) {
    if (this->active) AppendLogField(key, value, &this->text);
    return *this;
  }
  /// In milliseconds; the key should end in `_ms`.
  LogEvent& Add(std::string_view key, Duration value) {
    return this->Add(key, std::chrono::duration<double, std::milli>(value).count());
  }

  bool Active() const { return this->active; }

 private:
  LogLevel level;
  LogUrgency urgency;
  bool active;
  std::string text;
};

}  // namespace fireflyrun
