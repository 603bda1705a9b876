#include "common/timer_service.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <utility>

#include "common/random.h"

namespace fireflyrun {

namespace {

constexpr std::chrono::seconds kMostSlotOffset(1);
constexpr std::chrono::milliseconds kNoticeableDelay(50);
/// Within it, an event loop that was held up has handled what waited.
constexpr std::chrono::milliseconds kCatchUpTime(100);

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

Duration TimerService::LongestDelay() const {
  const SteadyTime now = SteadyClock::now();
  const bool just_held_up = now - this->held_up_until < kCatchUpTime;
  return now - (just_held_up ? this->held_up_since : this->last_fired);
}

void TimerService::OnFired(SteadyTime due) {
  const SteadyTime now = SteadyClock::now();
  this->last_fired = now;
  if (now - due >= kLateTimer) ++this->late_timers;
  if (now - due < kNoticeableDelay) return;
  const bool same_delay = now - this->held_up_until < kCatchUpTime;
  this->held_up_since = same_delay ? std::min(this->held_up_since, due) : due;
  this->held_up_until = now;
}

void TimerService::Arm(const std::shared_ptr<Entry>& entry, Duration delay) {
  entry->timer.expires_after(delay);
  entry->timer.async_wait([this, entry](const asio::error_code& error) {
    if (error || entry->cancelled) return;
    this->OnFired(entry->timer.expiry());
    entry->callback();
    const bool repeats = entry->period > Duration::zero();
    if (repeats && !entry->cancelled) this->Arm(entry, entry->period);
  });
}

}  // namespace fireflyrun
