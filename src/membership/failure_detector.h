#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/timer_subscription.h"
#include "membership/control.pb.h"
#include "membership/control_context.h"

namespace fireflyrun::membership {

/// Detects unreachable members of this node's zone with SWIM (Das, Gupta and Motivala, 2002): each
/// period it pings one member, in shuffled order. Without an ack it asks other members to ping the
/// member, then suspects it, then considers it unreachable. An accused member refutes the
/// accusation by raising the version of its entry.
///
/// As in Lifeguard (Dadgar, Phillips and Currey, 2018), a node that may itself be at fault accuses
/// no other: if its timers fire late it was paused, if no peer responds it is cut off.
///
/// Members of other zones are monitored by their own zone, whose delegates report the results.
class FailureDetector {
 public:
  explicit FailureDetector(ControlContext& shared) : context(shared) {}
  ~FailureDetector() = default;
  FailureDetector(const FailureDetector&) = delete;
  FailureDetector& operator=(const FailureDetector&) = delete;

  void Start();

  void OnPing(const pb::Ping& ping, const std::string& from);
  void OnPingRequest(const pb::PingRequest& request, const std::string& from);
  void OnAck(const pb::Ack& ack);
  void OnAccusation(const pb::Accusation& accusation, const std::string& from);
  /// Handles receipt of any message from `node`: if this node suspects it or considers it
  /// unreachable, it sends the accusation to `node`, which can then refute it.
  void OnMessageFrom(const std::string& node, const std::string& from);

  /// Called by the data path when a call to `node` failed for lack of a connection; pings the node
  /// at once.
  void ReportFailure(const std::string& node);
  void ReportSuccess(const std::string& node);
  /// Records an ack from any node, which shows that this node is not cut off.
  void RecordContact();
  /// True if no ack has arrived for several ping periods.
  bool IsIsolated() const;
  /// Accusations of the members that are individually unreachable, for digests; bounded in number.
  std::vector<pb::Accusation> Unreachable() const;

 private:
  struct Probe {
    std::string node;
    SteadyTime started_at;
    SteadyTime due;
    SteadyTime indirect_pings_sent_at;
    bool has_indirect_pings = false;
    TimerSubscription timer;
  };
  struct Relay {
    std::string requester;
    std::uint64_t sequence = 0;
    SteadyTime due;
  };
  struct Suspicion {
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    SteadyTime due;
    TimerSubscription timer;
  };

  void Tick();
  bool WasPaused(SteadyTime due) const;
  void OnPaused();
  const MemberState* NextTarget();
  void StartProbe(const MemberState& target);
  void ArmProbe(std::uint64_t sequence, Duration delay, bool is_last);
  void OnNoDirectAck(std::uint64_t sequence);
  /// Pings a node of another zone. Its ack shows that this node is not cut off, even if no member
  /// of its own zone responds.
  void PingOtherZone(Probe& probe);
  void OnNoAck(std::uint64_t sequence);
  void Suspect(const MemberState& target, bool spread);
  bool IsSelfCutOff(const Probe& probe) const;
  void ArmSuspicion(const std::string& node, Duration delay);
  void OnSuspicionEnd(const std::string& node);
  void AnnounceUnreachable(const MemberState& target);
  void NotifyAccused(const MemberState& target);
  void SendEntry(const Member& member, const std::string& to);

  ControlContext& context;
  TimerSubscription tick;
  SteadyTime last_tick;
  SteadyTime accusations_paused_until;
  SteadyTime last_contact;
  /// When an ack last arrived after a period without any.
  SteadyTime reconnected_at;
  /// Members accused while this node received no acks; not sent to other nodes.
  std::set<std::string> unshared_accusations;
  std::vector<std::string> probe_order;
  std::unordered_map<std::uint64_t, Probe> probes;
  std::unordered_map<std::uint64_t, Relay> relays;
  std::unordered_map<std::string, Suspicion> suspicions;
};

}  // namespace fireflyrun::membership
