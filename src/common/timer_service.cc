#include "common/timer_service.h"

#include <asio/steady_timer.hpp>
#include <utility>

#include "common/random.h"

namespace fireflyrun {

namespace {

constexpr std::chrono::seconds kMostSlotOffset(1);

}  // namespace

struct TimerService::Entry {
  Entry(asio::io_context& loop, Duration repeat, std::function<void()> hook)
      : timer(loop), period(repeat), callback(std::move(hook)) {}

  asio::steady_timer timer;
  Duration period;
  std::function<void()> callback;
  bool cancelled = false;
};

TimerService::TimerService(asio::io_context& event_loop)
    : loop(event_loop),
      slot_offset(RandomBelow(static_cast<std::uint64_t>(Duration(kMostSlotOffset).count()))) {}

Duration TimerService::UntilNextSlot(Duration period) const {
  const Duration passed = SteadyClock::now().time_since_epoch() + this->slot_offset;
  return period - passed % period;
}

TimerSubscription TimerService::After(Duration delay, std::function<void()> callback) {
  return this->Subscribe(delay, Duration::zero(), std::move(callback));
}

TimerSubscription TimerService::Every(Duration period, std::function<void()> callback) {
  const auto jitter = static_cast<std::uint64_t>(period.count()) / 10;
  const auto taken_off = Duration(jitter == 0 ? 0 : RandomBelow(jitter));
  return this->Subscribe(period - taken_off, period, std::move(callback));
}

TimerSubscription TimerService::Subscribe(Duration first_delay, Duration period,
                                          std::function<void()> callback) {
  auto entry = std::make_shared<Entry>(this->loop, period, std::move(callback));
  this->Arm(entry, first_delay);
  return TimerSubscription([entry] {
    entry->cancelled = true;
    entry->timer.cancel();
  });
}

void TimerService::CountIfLate(Duration delay) {
  if (delay >= kLateTimer) ++this->late_timers;
}

void TimerService::Arm(const std::shared_ptr<Entry>& entry, Duration delay) {
  entry->timer.expires_after(delay);
  entry->timer.async_wait([this, entry](const asio::error_code& error) {
    if (error || entry->cancelled) return;
    this->CountIfLate(SteadyClock::now() - entry->timer.expiry());
    entry->callback();
    const bool repeats = entry->period > Duration::zero();
    if (repeats && !entry->cancelled) this->Arm(entry, entry->period);
  });
}

}  // namespace fireflyrun
