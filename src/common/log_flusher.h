#pragma once

#include "common/timer_subscription.h"

namespace fireflyrun {

class TimerService;

/// Writes the log in batches on the event loop, so that no request waits for it. Costs nothing
/// while nothing is logged. What is left at its destruction is written if the reader takes it at
/// once.
class LogFlusher {
 public:
  explicit LogFlusher(TimerService& timer_service);
  ~LogFlusher();
  LogFlusher(const LogFlusher&) = delete;
  LogFlusher& operator=(const LogFlusher&) = delete;

 private:
  void Flush();

  TimerService& timers;
  TimerSubscription timer;
};

}  // namespace fireflyrun
