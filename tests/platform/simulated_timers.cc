#include "tests/platform/simulated_timers.h"

namespace fireflyrun::platform {

TimerSubscription SimulatedTimers::After(Duration delay, std::function<void()> callback) {
  return this->Subscribe(delay, Duration::zero(), std::move(callback));
}

TimerSubscription SimulatedTimers::Every(Duration period, std::function<void()> callback) {
  return this->Subscribe(period, period, std::move(callback));
}

void SimulatedTimers::Post(Duration delay, std::function<void()> callback) {
  this->Add(delay, std::make_shared<Entry>(Entry{std::move(callback)}));
}

void SimulatedTimers::RunFor(Duration time) {
  const SteadyTime end = this->now + time;
  while (!this->entries.empty() && this->entries.begin()->first.first <= end) this->RunFirst();
  this->now = end;
}

TimerSubscription SimulatedTimers::Subscribe(Duration delay, Duration period,
                                             std::function<void()> callback) {
  auto entry = std::make_shared<Entry>(Entry{std::move(callback), period});
  this->Add(delay, entry);
  return TimerSubscription([entry] { entry->cancelled = true; });
}

void SimulatedTimers::Add(Duration delay, const std::shared_ptr<Entry>& entry) {
  this->entries.emplace(Position(this->now + delay, ++this->added), entry);
}

void SimulatedTimers::RunFirst() {
  const auto first = this->entries.extract(this->entries.begin());
  this->now = first.key().first;
  const std::shared_ptr<Entry>& entry = first.mapped();
  if (entry->cancelled) return;
  entry->callback();
  const bool repeats = entry->period > Duration::zero();
  if (repeats && !entry->cancelled) this->Add(entry->period, entry);
}

}  // namespace fireflyrun::platform
