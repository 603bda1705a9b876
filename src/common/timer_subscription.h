#pragma once

#include <functional>
#include <utility>

namespace fireflyrun {

/// Owns one timer subscription; cancels it when destroyed or reset.
class TimerSubscription {
 public:
  TimerSubscription() = default;
  explicit TimerSubscription(std::function<void()> cancel_hook) : cancel(std::move(cancel_hook)) {}
  ~TimerSubscription() { this->Reset(); }

  TimerSubscription(const TimerSubscription&) = delete;
  TimerSubscription& operator=(const TimerSubscription&) = delete;
  TimerSubscription(TimerSubscription&& other) noexcept
      : cancel(std::exchange(other.cancel, nullptr)) {}
  TimerSubscription& operator=(TimerSubscription&& other) noexcept {
    if (this != &other) {
      this->Reset();
      this->cancel = std::exchange(other.cancel, nullptr);
    }
    return *this;
  }

  void Reset() {
    if (const auto hook = std::exchange(this->cancel, nullptr)) hook();
  }

 private:
  std::function<void()> cancel;
};

}  // namespace fireflyrun
