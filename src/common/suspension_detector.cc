#include "common/suspension_detector.h"

#include <utility>

#include "common/boot_clock.h"

namespace fireflyrun {
namespace {

/// Both clocks are read one after the other, between which the process may have to wait.
constexpr Duration kSlack = std::chrono::milliseconds(200);

}  // namespace

SuspensionDetector::SuspensionDetector()
    : SuspensionDetector([] { return BootClock::now().time_since_epoch(); },
                         [] { return SteadyClock::now().time_since_epoch(); }) {}

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
