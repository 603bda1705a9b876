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
#include "membership/membership_options.h"
#include "membership/send_priority.h"

namespace fireflyrun::membership {

/// Batches parts into one message per peer and flush, splits messages at the size limit, and keeps
/// to a byte budget: a token bucket that urgent parts may overdraw and that bulk parts may drain
/// only to a quarter.
class Outbox {
 public:
  using SendHook = std::function<void(const std::string&, std::string)>;
  /// A serialized part, shared by all peers to which it is sent.
  using PartBytes = std::shared_ptr<const std::string>;

  Outbox(TimerService& timers, const MembershipOptions& options, SendHook send,
         ControlCounters& counters);
  ~Outbox() = default;
  Outbox(const Outbox&) = delete;
  Outbox& operator=(const Outbox&) = delete;

  void Add(const std::string& address, const pb::Part& part, SendPriority priority);
  /// Queues one part for several peers.
  void AddToAll(const std::vector<std::string>& addresses, const pb::Part& part,
                SendPriority priority);
  /// Sends as much as the budget allows; later flushes send the rest.
  void Flush();
  std::size_t QueuedBytes() const { return this->queued_bytes; }

 private:
  static constexpr std::size_t kPriorityCount = 3;
  using Queue = std::deque<PartBytes>;
  using QueuesByPriority = std::array<Queue, kPriorityCount>;

  void Enqueue(const std::string& address, const PartBytes& part, SendPriority priority);
  void Refill();
  bool MaySend(std::size_t priority) const;
  void FlushPeer(const std::string& address, QueuesByPriority& queues);
  void Emit(const std::string& address, std::string message);

  TimerService& timers;
  const MembershipOptions& options;
  SendHook send;
  ControlCounters& counters;
  std::string header;
  std::map<std::string, QueuesByPriority> peers;
  std::string next_peer;  ///< First peer of the next flush, rotated so that no peer is always last.
  std::size_t queued_bytes = 0;
  double tokens = 0;
  SteadyTime refilled_at;
  TimerSubscription flush_timer;
  bool flush_armed = false;
};

}  // namespace fireflyrun::membership
