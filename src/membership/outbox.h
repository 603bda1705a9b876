#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/clock.h"
#include "common/timer_service.h"
#include "membership/control.pb.h"
#include "membership/control_counters.h"
#include "membership/lane.h"
#include "membership/membership_options.h"

namespace fireflyrun::membership {

/// Batches parts into one message a peer and flush, splits at the size bound, and keeps what is
/// sent within the byte budget: a token bucket that urgent parts may overdraw and that bulk parts
/// may use only down to a quarter.
class Outbox {
 public:
  using SendHook = std::function<void(const std::string&, std::string)>;
  /// A serialized part, shared by the peers to which it goes.
  using PartBytes = std::shared_ptr<const std::string>;

  Outbox(TimerService& timers, const MembershipOptions& options, SendHook send,
         ControlCounters& counters);
  ~Outbox() = default;
  Outbox(const Outbox&) = delete;
  Outbox& operator=(const Outbox&) = delete;

  void Add(const std::string& address, const pb::Part& part, Lane lane);
  /// Adds one part for several peers.
  void AddToAll(const std::vector<std::string>& addresses, const pb::Part& part, Lane lane);
  /// Sends what the budget allows now; the rest goes with later flushes.
  void Flush();
  std::size_t QueuedBytes() const { return this->queued_bytes; }

 private:
  static constexpr std::size_t kLanes = 3;
  using Queue = std::deque<PartBytes>;
  using Lanes = std::array<Queue, kLanes>;

  void Enqueue(const std::string& address, const PartBytes& part, Lane lane);
  void Refill();
  bool MaySend(std::size_t lane) const;
  void FlushPeer(const std::string& address, Lanes& lanes);
  void Emit(const std::string& address, std::string message);

  TimerService& timers;
  const MembershipOptions& options;
  SendHook send;
  ControlCounters& counters;
  std::string header;
  std::map<std::string, Lanes> peers;
  std::string next_peer;  ///< Where the next flush starts, so that no peer is always last.
  std::size_t queued_bytes = 0;
  double tokens = 0;
  SteadyTime refilled_at;
  TimerSubscription flush_timer;
  bool flush_armed = false;
};

}  // namespace fireflyrun::membership
