#pragma once

#include <deque>
#include <string>

#include "common/timer_subscription.h"
#include "membership/control_context.h"

namespace fireflyrun::membership {

/// Sends join requests to the known contact addresses: frequently until one responds, then rarely
/// and only to addresses that belong to no reachable member, so that a fleet that started in two
/// separate parts merges.
class FleetJoiner {
 public:
  explicit FleetJoiner(ControlContext& shared) : context(shared) {}
  ~FleetJoiner() = default;
  FleetJoiner(const FleetJoiner&) = delete;
  FleetJoiner& operator=(const FleetJoiner&) = delete;

  void Start();
  /// Adds a contact address; only the latest kMaxContacts are kept.
  void Add(const std::string& address);
  void OnResponse() { this->joined = true; }
  bool HasJoined() const { return this->joined; }

 private:
  static constexpr std::size_t kMaxContacts = 64;

  void Tick();
  bool BelongsToMember(const std::string& address) const;
  void SendJoinRequest(const std::string& address);

  ControlContext& context;
  TimerSubscription timer;
  std::deque<std::string> contacts;
  std::size_t next = 0;
  std::size_t ticks = 0;
  bool started = false;
  bool joined = false;
};

}  // namespace fireflyrun::membership
