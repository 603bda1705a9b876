#include "membership/failure_detector.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/random.h"
#include "membership/control_address.h"
#include "membership/member_codec.h"

namespace fireflyrun::membership {

namespace {

// Ping periods without any ack after which this node counts as isolated.
constexpr int kIsolationPeriods = 3;
// Ping periods after a pause of this process in which it suspects no other node.
constexpr int kQuietPeriodsAfterPause = 2;
// Accusations in one digest.
constexpr std::size_t kMaxDigestAccusations = 256;

pb::Accusation AccusationOf(const Member& member, bool confirmed) {
  pb::Accusation accusation;
  accusation.set_node(member.node);
  accusation.set_incarnation(member.incarnation);
  accusation.set_version(member.version);
  accusation.set_confirmed(confirmed);
  return accusation;
}

pb::Part PartOf(pb::Accusation accusation) {
  pb::Part part;
  *part.mutable_accusation() = std::move(accusation);
  return part;
}

pb::Part PingPart(std::uint64_t sequence, const std::string& node) {
  pb::Part part;
  part.mutable_ping()->set_sequence(sequence);
  part.mutable_ping()->set_node(node);
  return part;
}

}  // namespace

void FailureDetector::Start() {
  this->last_tick = SteadyClock::now();
  this->last_contact = this->last_tick;
  this->tick =
      this->context.timers.Every(this->context.options.ping_period, [this] { this->Tick(); });
}

bool FailureDetector::WasPaused(SteadyTime due) const {
  return SteadyClock::now() - due > this->context.options.ack_timeout;
}

void FailureDetector::OnPaused() {
  const auto& options = this->context.options;
  this->accusations_paused_until =
      SteadyClock::now() + kQuietPeriodsAfterPause * options.ping_period;
  this->probes.clear();
  std::vector<std::string> suspects;
  for (const auto& [node, suspicion] : this->suspicions) suspects.push_back(node);
  for (const std::string& node : suspects) this->ArmSuspicion(node, options.suspicion_time);
}

void FailureDetector::Tick() {
  const SteadyTime now = SteadyClock::now();
  const SteadyTime due = this->last_tick + this->context.options.ping_period;
  this->last_tick = now;
  if (this->WasPaused(due)) this->OnPaused();
  std::erase_if(this->relays, [now](const auto& item) { return item.second.due < now; });
  const MemberState* target = this->NextTarget();
  if (target != nullptr) this->StartProbe(*target);
}

const MemberState* FailureDetector::NextTarget() {
  const View& view = this->context.view;
  for (int pass = 0; pass < 2; ++pass) {
    while (!this->probe_order.empty()) {
      const MemberState* state = view.Find(this->probe_order.back());
      this->probe_order.pop_back();
      if (state != nullptr && state->IsPresent()) return state;
    }
    for (const MemberState* state : view.MembersOf(view.Self().zone)) {
      if (state->member.node != view.Self().node) this->probe_order.push_back(state->member.node);
    }
    std::shuffle(this->probe_order.begin(), this->probe_order.end(), ThreadGenerator());
  }
  return nullptr;
}

void FailureDetector::StartProbe(const MemberState& target) {
  const std::uint64_t sequence = RandomBits();
  Probe& probe = this->probes[sequence];
  probe.node = target.member.node;
  probe.started_at = SteadyClock::now();
  this->context.outbox.Add(ControlAddressOf(target.member), PingPart(sequence, target.member.node),
                           SendPriority::kUrgent);
  this->ArmProbe(sequence, this->context.options.ack_timeout, false);
}

void FailureDetector::ArmProbe(std::uint64_t sequence, Duration delay, bool is_last) {
  Probe& probe = this->probes[sequence];
  probe.due = SteadyClock::now() + delay;
  probe.timer = this->context.timers.After(delay, [this, sequence, is_last] {
    const auto found = this->probes.find(sequence);
    if (found == this->probes.end()) return;
    if (this->WasPaused(found->second.due)) {
      this->OnPaused();
    } else if (is_last) {
      this->OnNoAck(sequence);
    } else {
      this->OnNoDirectAck(sequence);
    }
  });
}

void FailureDetector::OnNoDirectAck(std::uint64_t sequence) {
  const std::string node = this->probes[sequence].node;
  const MemberState* target = this->context.view.Find(node);
  if (target == nullptr || !target->IsPresent()) {
    this->probes.erase(sequence);
    return;
  }
  pb::Part part;
  pb::PingRequest& request = *part.mutable_ping_request();
  request.set_sequence(sequence);
  request.set_node(node);
  request.set_address(ControlAddressOf(target->member));
  const auto& options = this->context.options;
  Probe& probe = this->probes[sequence];
  probe.indirect_pings_sent_at = SteadyClock::now();
  for (const MemberState* helper : this->context.picker.PickInZone(options.indirect_pings, node)) {
    this->context.outbox.Add(ControlAddressOf(helper->member), part, SendPriority::kUrgent);
    probe.has_indirect_pings = true;
  }
  this->PingOtherZone(probe);
  this->ArmProbe(sequence, 2 * options.ack_timeout, true);
}

void FailureDetector::PingOtherZone(Probe& probe) {
  const auto remotes = this->context.picker.RemoteDelegates();
  if (remotes.empty()) return;
  const Member& remote = remotes[RandomBelow(remotes.size())]->member;
  this->context.outbox.Add(ControlAddressOf(remote), PingPart(RandomBits(), remote.node),
                           SendPriority::kUrgent);
  probe.has_indirect_pings = true;
}

void FailureDetector::OnNoAck(std::uint64_t sequence) {
  const std::string node = this->probes[sequence].node;
  const bool is_cut_off = this->IsSelfCutOff(this->probes[sequence]);
  // The probe began while this node was cut off; its messages were lost, which shows nothing about
  // the other node.
  const bool is_inconclusive = this->probes[sequence].started_at <= this->reconnected_at;
  this->probes.erase(sequence);
  if (is_inconclusive) return;
  const MemberState* target = this->context.view.Find(node);
  if (target == nullptr || !target->IsReachable()) return;
  if (SteadyClock::now() < this->accusations_paused_until) return;
  this->Suspect(*target, !is_cut_off);
}

bool FailureDetector::IsSelfCutOff(const Probe& probe) const {
  if (probe.has_indirect_pings) return this->last_contact < probe.indirect_pings_sent_at;
  return this->IsIsolated();
}

void FailureDetector::Suspect(const MemberState& target, bool spread) {
  if (target.individual_reachability != Reachability::kReachable) return;
  const std::string node = target.member.node;
  Suspicion& suspicion = this->suspicions[node];
  suspicion.incarnation = target.member.incarnation;
  suspicion.version = target.member.version;
  this->context.view.SetReachability(node, Reachability::kSuspect, SteadyClock::now());
  this->ArmSuspicion(node, this->context.options.suspicion_time);
  if (!spread) {
    this->unshared_accusations.insert(node);
    return;
  }
  this->NotifyAccused(target);
  const auto peers = this->context.picker.PickNeighbors(this->context.options.fanout);
  this->context.outbox.AddToAll(peers, PartOf(AccusationOf(target.member, false)),
                                SendPriority::kUrgent);
}

void FailureDetector::ArmSuspicion(const std::string& node, Duration delay) {
  Suspicion& suspicion = this->suspicions[node];
  suspicion.due = SteadyClock::now() + delay;
  suspicion.timer = this->context.timers.After(delay, [this, node] { this->OnSuspicionEnd(node); });
}

void FailureDetector::OnSuspicionEnd(const std::string& node) {
  const auto found = this->suspicions.find(node);
  if (found == this->suspicions.end()) return;
  if (this->WasPaused(found->second.due)) {
    this->OnPaused();
    return;
  }
  const auto accused = std::tuple(found->second.incarnation, found->second.version);
  this->suspicions.erase(found);
  const MemberState* target = this->context.view.Find(node);
  if (target == nullptr || target->individual_reachability != Reachability::kSuspect) return;
  if (std::tuple(target->member.incarnation, target->member.version) != accused) return;
  this->context.view.SetReachability(node, Reachability::kUnreachable, SteadyClock::now());
  if (!this->unshared_accusations.contains(node)) this->AnnounceUnreachable(*target);
}

void FailureDetector::AnnounceUnreachable(const MemberState& target) {
  if (!this->context.picker.SelfIsDelegate()) return;
  const pb::Part part = PartOf(AccusationOf(target.member, true));
  for (const MemberState* remote : this->context.picker.RemoteDelegates()) {
    this->context.outbox.Add(ControlAddressOf(remote->member), part, SendPriority::kUrgent);
  }
}

void FailureDetector::NotifyAccused(const MemberState& target) {
  this->context.outbox.Add(ControlAddressOf(target.member),
                           PartOf(AccusationOf(target.member, false)), SendPriority::kUrgent);
}

void FailureDetector::OnPing(const pb::Ping& ping, const std::string& from) {
  if (ping.node() != this->context.view.Self().node) return;
  pb::Part part;
  part.mutable_ack()->set_sequence(ping.sequence());
  part.mutable_ack()->set_node(ping.node());
  this->context.outbox.Add(from, part, SendPriority::kUrgent);
}

void FailureDetector::OnPingRequest(const pb::PingRequest& request, const std::string& from) {
  const std::uint64_t sequence = RandomBits();
  const SteadyTime due = SteadyClock::now() + 2 * this->context.options.ack_timeout;
  this->relays[sequence] = Relay{from, request.sequence(), due};
  this->context.outbox.Add(request.address(), PingPart(sequence, request.node()),
                           SendPriority::kUrgent);
  // Shows the requester that its messages arrive, whatever the result of the ping.
  pb::Part part;
  part.mutable_ack()->set_sequence(request.sequence());
  part.mutable_ack()->set_node(this->context.view.Self().node);
  this->context.outbox.Add(from, part, SendPriority::kUrgent);
}

void FailureDetector::OnAck(const pb::Ack& ack) {
  this->RecordContact();
  const auto relay = this->relays.find(ack.sequence());
  if (relay != this->relays.end()) {
    pb::Part part;
    part.mutable_ack()->set_sequence(relay->second.sequence);
    part.mutable_ack()->set_node(ack.node());
    this->context.outbox.Add(relay->second.requester, part, SendPriority::kUrgent);
    this->relays.erase(relay);
    return;
  }
  const auto probe = this->probes.find(ack.sequence());
  if (probe == this->probes.end()) return;
  const std::string node = probe->second.node;
  if (node != ack.node()) return;
  this->probes.erase(probe);
  this->ReportSuccess(node);
}

void FailureDetector::OnAccusation(const pb::Accusation& accusation, const std::string& from) {
  View& view = this->context.view;
  const SteadyTime now = SteadyClock::now();
  const auto accused = std::tuple(accusation.incarnation(), accusation.version());
  const MemberState* target = view.Find(accusation.node());
  if (target == nullptr) return;
  const auto held = std::tuple(target->member.incarnation, target->member.version);
  if (target->member.node == view.Self().node) {
    if (accusation.incarnation() == view.Self().incarnation) {
      view.RaiseSelfAbove(accusation.version(), now);
    }
    this->SendEntry(view.Self(), from);
    return;
  }
  if (held > accused) {
    this->SendEntry(target->member, from);
    return;
  }
  if (held < accused || !target->IsPresent()) return;
  this->unshared_accusations.erase(accusation.node());
  if (target->member.zone == view.Self().zone) {
    this->Suspect(*target, true);
    return;
  }
  const bool is_known = target->individual_reachability == Reachability::kUnreachable;
  if (!accusation.confirmed() || is_known) return;
  view.SetReachability(accusation.node(), Reachability::kUnreachable, now);
  const auto peers = this->context.picker.PickNeighbors(this->context.options.fanout);
  this->context.outbox.AddToAll(peers, PartOf(accusation), SendPriority::kUrgent);
}

void FailureDetector::OnMessageFrom(const std::string& node, const std::string& from) {
  const MemberState* state = this->context.view.Find(node);
  if (state == nullptr || !state->IsPresent()) return;
  if (state->individual_reachability == Reachability::kReachable) return;
  if (this->unshared_accusations.contains(node)) return;
  this->context.outbox.Add(from, PartOf(AccusationOf(state->member, false)), SendPriority::kUrgent);
}

void FailureDetector::ReportFailure(const std::string& node) {
  const MemberState* target = this->context.view.Find(node);
  if (target == nullptr || !target->IsReachable()) return;
  if (target->member.zone != this->context.view.Self().zone) return;
  if (node == this->context.view.Self().node) return;
  const bool is_probed =
      std::any_of(this->probes.begin(), this->probes.end(),
                  [&node](const auto& item) { return item.second.node == node; });
  if (!is_probed) this->StartProbe(*target);
}

void FailureDetector::ReportSuccess(const std::string& node) {
  const MemberState* target = this->context.view.Find(node);
  if (target == nullptr || target->individual_reachability == Reachability::kReachable) return;
  this->suspicions.erase(node);
  // Other nodes may hold the same accusation; only the accused node can refute it everywhere.
  this->NotifyAccused(*target);
  this->context.view.SetReachability(node, Reachability::kReachable, SteadyClock::now());
}

void FailureDetector::RecordContact() {
  const bool was_cut_off = this->IsIsolated() || !this->unshared_accusations.empty();
  this->last_contact = SteadyClock::now();
  if (was_cut_off) this->reconnected_at = this->last_contact;
  // Accusations made while this node received no acks show nothing about the accused nodes.
  for (const std::string& node : std::exchange(this->unshared_accusations, {})) {
    this->suspicions.erase(node);
    this->context.view.SetReachability(node, Reachability::kReachable, this->last_contact);
  }
}

bool FailureDetector::IsIsolated() const {
  const Duration limit = kIsolationPeriods * this->context.options.ping_period;
  return SteadyClock::now() - this->last_contact > limit;
}

std::vector<pb::Accusation> FailureDetector::Unreachable() const {
  std::vector<pb::Accusation> accusations;
  const View& view = this->context.view;
  for (const std::string& zone : view.Zones()) {
    for (const MemberState* state : view.MembersOf(zone)) {
      if (accusations.size() >= kMaxDigestAccusations) return accusations;
      const bool is_accused = state->individual_reachability == Reachability::kUnreachable;
      const bool is_shared = !this->unshared_accusations.contains(state->member.node);
      if (is_accused && is_shared && state->IsPresent()) {
        accusations.push_back(AccusationOf(state->member, true));
      }
    }
  }
  return accusations;
}

void FailureDetector::SendEntry(const Member& member, const std::string& to) {
  pb::Part part;
  *part.mutable_member() = EncodeMember(member);
  this->context.outbox.Add(to, part, SendPriority::kUpdate);
}

}  // namespace fireflyrun::membership
