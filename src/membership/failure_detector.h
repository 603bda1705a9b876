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

/// Finds out which members of the own zone answer, after SWIM (Das, Gupta and Motivala, 2002): ping
/// one member a period in a shuffled round, on no answer ask others to ping it, then suspect it,
/// then hold it for unreachable. The accused refutes by raising the version of its entry.
///
/// After Lifeguard (Dadgar, Phillips and Currey, 2018) a node that is itself at fault accuses
/// nobody: one whose timers fire late was paused, one that no peer answers is cut off.
///
/// Members of other zones are judged by their own zone; its delegates tell the verdicts.
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
  /// Any message of `node` came in: when this node holds it for unreachable, it is told, so that it
  /// can refute.
  void OnHeard(const std::string& node, const std::string& from);

  /// The data path saw a call to `node` fail for want of a connection: ping it at once.
  void ReportFailure(const std::string& node);
  void ReportSuccess(const std::string& node);
  /// An answer from anywhere shows that this node is not cut off.
  void NoteContact();
  /// True after several periods without any answer although there are peers to answer.
  bool IsIsolated() const;
  /// Members believed unreachable one by one, for digests; bounded.
  std::vector<pb::Accusation> Unreachable() const;

 private:
  struct Probe {
    std::string node;
    SteadyTime begun_at;
    SteadyTime due;
    SteadyTime helpers_asked_at;
    bool has_helpers = false;
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
  /// Pings a node of another zone, whose answer shows that this node is not cut off although its
  /// whole zone may be silent.
  void AskWitness(Probe& probe);
  void OnNoAck(std::uint64_t sequence);
  void Suspect(const MemberState& target, bool spread);
  bool IsAlone(const Probe& probe) const;
  void ArmSuspicion(const std::string& node, Duration delay);
  void OnSuspicionEnd(const std::string& node);
  void Confirm(const MemberState& target);
  void TellAccused(const MemberState& target);
  void SendEntry(const Member& member, const std::string& to);

  ControlContext& context;
  TimerSubscription tick;
  SteadyTime last_tick;
  SteadyTime quiet_until;
  SteadyTime last_contact;
  SteadyTime returned_at;          ///< When somebody answered again after nobody had.
  std::set<std::string> unshared;  ///< Accused by this node while nobody answered it.
  std::vector<std::string> round;
  std::unordered_map<std::uint64_t, Probe> probes;
  std::unordered_map<std::uint64_t, Relay> relays;
  std::unordered_map<std::string, Suspicion> suspicions;
};

}  // namespace fireflyrun::membership
