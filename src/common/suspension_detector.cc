#include "common/suspension_detector.h"

#include <ctime>
#include <utility>

namespace fireflyrun {
namespace {

/// Both clocks are read one after the other, between which the process may have to wait.
constexpr Duration kSlack = std::chrono::milliseconds(200);

Duration ReadClock(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace

SuspensionDetector::SuspensionDetector()
    : SuspensionDetector([] { return ReadClock(CLOCK_BOOTTIME); },
                         [] { return ReadClock(CLOCK_MONOTONIC); }) {}

SuspensionDetector::SuspensionDetector(ClockHook boot_time, ClockHook steady_time)
    : boot(std::move(boot_time)), steady(std::move(steady_time)), last_offset(this->Offset()) {}

Duration SuspensionDetector::Offset() const {
  const Duration steady_now = this->steady();
  return this->boot() - steady_now;
}

Duration SuspensionDetector::Check() {
  const Duration offset = this->Offset();
  const Duration gap = offset - this->last_offset;
  this->last_offset = offset;
  return gap > kSlack ? gap : Duration::zero();
}

}  // namespace fireflyrun
