#include "common/log_flusher.h"

#include "common/log.h"
#include "common/timer_service.h"

namespace fireflyrun {
namespace {

constexpr Duration kBatchTime = std::chrono::milliseconds(250);

}  // namespace

LogFlusher::LogFlusher(TimerService& timer_service) : timers(timer_service) {
  SetLogFlushHook(
      [this] { this->timer = this->timers.After(kBatchTime, [this] { this->Flush(); }); });
}

LogFlusher::~LogFlusher() {
  SetLogFlushHook(nullptr);
  ReportLogLinesLeftOut();
  FlushLog();
}

void LogFlusher::Flush() {
  const bool more_to_report = ReportLogLinesLeftOut();
  const bool all_written = FlushLog();
  if (all_written && !more_to_report) return;
  this->timer = this->timers.After(kBatchTime, [this] { this->Flush(); });
}

}  // namespace fireflyrun
