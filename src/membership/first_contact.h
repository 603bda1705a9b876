#pragma once

#include <deque>
#include <string>

#include "common/timer_subscription.h"
#include "membership/control_context.h"

namespace fireflyrun::membership {

/// Asks known addresses for the fleet: often until one has answered, then seldom those that no
/// reachable member holds, so that a fleet that started in two parts grows together.
class FirstContact {
 public:
  explicit FirstContact(ControlContext& shared) : context(shared) {}
  ~FirstContact() = default;
  FirstContact(const FirstContact&) = delete;
  FirstContact& operator=(const FirstContact&) = delete;

  void Start();
  /// Keeps the latest kMaxContacts addresses.
  void Add(const std::string& address);
  void OnAnswer() { this->joined = true; }
  bool HasJoined() const { return this->joined; }

 private:
  static constexpr std::size_t kMaxContacts = 64;

  void Tick();
  bool IsHeldByMember(const std::string& address) const;
  void Ask(const std::string& address);

  ControlContext& context;
  TimerSubscription timer;
  std::deque<std::string> contacts;
  std::size_t next = 0;
  std::size_t ticks = 0;
  bool started = false;
  bool joined = false;
};

}  // namespace fireflyrun::membership
