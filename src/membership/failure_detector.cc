#include "membership/failure_detector.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/random.h"
#include "membership/control_address.h"
#include "membership/member_codec.h"

namespace fireflyrun::membership {

namespace {

constexpr int kIsolationPeriods = 3;
constexpr int kQuietPeriods = 2;
constexpr std::size_t kMaxAccusations = 256;

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
  this->quiet_until = SteadyClock::now() + kQuietPeriods * options.ping_period;
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
    while (!this->round.empty()) {
      const MemberState* state = view.Find(this->round.back());
      this->round.pop_back();
      if (state != nullptr && state->IsPresent()) return state;
    }
    for (const MemberState* state : view.MembersOf(view.Self().zone)) {
      if (state->member.node != view.Self().node) this->round.push_back(state->member.node);
    }
    std::shuffle(this->round.begin(), this->round.end(), ThreadGenerator());
  }
  return nullptr;
}

void FailureDetector::StartProbe(const MemberState& target) {
  const std::uint64_t sequence = RandomBits();
  Probe& probe = this->probes[sequence];
  probe.node = target.member.node;
  probe.begun_at = SteadyClock::now();
  this->context.outbox.Add(ControlAddressOf(target.member), PingPart(sequence, target.member.node),
                           Lane::kUrgent);
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
  probe.helpers_asked_at = SteadyClock::now();
  for (const MemberState* helper : this->context.picker.PickInZone(options.indirect_pings, node)) {
    this->context.outbox.Add(ControlAddressOf(helper->member), part, Lane::kUrgent);
    probe.has_helpers = true;
  }
  this->AskWitness(probe);
  this->ArmProbe(sequence, 2 * options.ack_timeout, true);
}

void FailureDetector::AskWitness(Probe& probe) {
  const auto witnesses = this->context.picker.RemoteDelegates();
  if (witnesses.empty()) return;
  const Member& witness = witnesses[RandomBelow(witnesses.size())]->member;
  this->context.outbox.Add(ControlAddressOf(witness), PingPart(RandomBits(), witness.node),
                           Lane::kUrgent);
  probe.has_helpers = true;
}

void FailureDetector::OnNoAck(std::uint64_t sequence) {
  const std::string node = this->probes[sequence].node;
  const bool is_alone = this->IsAlone(this->probes[sequence]);
  // Its messages were lost while this node was cut off, which says nothing of the other.
  const bool is_void = this->probes[sequence].begun_at <= this->returned_at;
  this->probes.erase(sequence);
  if (is_void) return;
  const MemberState* target = this->context.view.Find(node);
  if (target == nullptr || !target->IsReachable()) return;
  if (SteadyClock::now() < this->quiet_until) return;
  this->Suspect(*target, !is_alone);
}

bool FailureDetector::IsAlone(const Probe& probe) const {
  if (probe.has_helpers) return this->last_contact < probe.helpers_asked_at;
  return this->IsIsolated();
}

void FailureDetector::Suspect(const MemberState& target, bool spread) {
  if (target.own_reachability != Reachability::kReachable) return;
  const std::string node = target.member.node;
  Suspicion& suspicion = this->suspicions[node];
  suspicion.incarnation = target.member.incarnation;
  suspicion.version = target.member.version;
  this->context.view.SetReachability(node, Reachability::kSuspect, SteadyClock::now());
  this->ArmSuspicion(node, this->context.options.suspicion_time);
  if (!spread) {
    this->unshared.insert(node);
    return;
  }
  this->TellAccused(target);
  const auto peers = this->context.picker.PickNeighbours(this->context.options.fanout);
  this->context.outbox.AddToAll(peers, PartOf(AccusationOf(target.member, false)), Lane::kUrgent);
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
  if (target == nullptr || target->own_reachability != Reachability::kSuspect) return;
  if (std::tuple(target->member.incarnation, target->member.version) != accused) return;
  this->context.view.SetReachability(node, Reachability::kUnreachable, SteadyClock::now());
  if (!this->unshared.contains(node)) this->Confirm(*target);
}

void FailureDetector::Confirm(const MemberState& target) {
  if (!this->context.picker.SelfIsDelegate()) return;
  const pb::Part part = PartOf(AccusationOf(target.member, true));
  for (const MemberState* remote : this->context.picker.RemoteDelegates()) {
    this->context.outbox.Add(ControlAddressOf(remote->member), part, Lane::kUrgent);
  }
}

void FailureDetector::TellAccused(const MemberState& target) {
  this->context.outbox.Add(ControlAddressOf(target.member),
                           PartOf(AccusationOf(target.member, false)), Lane::kUrgent);
}

void FailureDetector::OnPing(const pb::Ping& ping, const std::string& from) {
  if (ping.node() != this->context.view.Self().node) return;
  pb::Part part;
  part.mutable_ack()->set_sequence(ping.sequence());
  part.mutable_ack()->set_node(ping.node());
  this->context.outbox.Add(from, part, Lane::kUrgent);
}

void FailureDetector::OnPingRequest(const pb::PingRequest& request, const std::string& from) {
  const std::uint64_t sequence = RandomBits();
  const SteadyTime due = SteadyClock::now() + 2 * this->context.options.ack_timeout;
  this->relays[sequence] = Relay{from, request.sequence(), due};
  this->context.outbox.Add(request.address(), PingPart(sequence, request.node()), Lane::kUrgent);
  // Shows the requester that it can be heard, whatever becomes of the ping.
  pb::Part part;
  part.mutable_ack()->set_sequence(request.sequence());
  part.mutable_ack()->set_node(this->context.view.Self().node);
  this->context.outbox.Add(from, part, Lane::kUrgent);
}

void FailureDetector::OnAck(const pb::Ack& ack) {
  this->NoteContact();
  const auto relay = this->relays.find(ack.sequence());
  if (relay != this->relays.end()) {
    pb::Part part;
    part.mutable_ack()->set_sequence(relay->second.sequence);
    part.mutable_ack()->set_node(ack.node());
    this->context.outbox.Add(relay->second.requester, part, Lane::kUrgent);
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
  this->unshared.erase(accusation.node());
  if (target->member.zone == view.Self().zone) {
    this->Suspect(*target, true);
    return;
  }
  const bool is_known = target->own_reachability == Reachability::kUnreachable;
  if (!accusation.confirmed() || is_known) return;
  view.SetReachability(accusation.node(), Reachability::kUnreachable, now);
  const auto peers = this->context.picker.PickNeighbours(this->context.options.fanout);
  this->context.outbox.AddToAll(peers, PartOf(accusation), Lane::kUrgent);
}

void FailureDetector::OnHeard(const std::string& node, const std::string& from) {
  const MemberState* state = this->context.view.Find(node);
  if (state == nullptr || !state->IsPresent()) return;
  if (state->own_reachability == Reachability::kReachable) return;
  if (this->unshared.contains(node)) return;
  this->context.outbox.Add(from, PartOf(AccusationOf(state->member, false)), Lane::kUrgent);
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
  if (target == nullptr || target->own_reachability == Reachability::kReachable) return;
  this->suspicions.erase(node);
  // Others hold the same accusation; only the accused can clear it everywhere.
  this->TellAccused(*target);
  this->context.view.SetReachability(node, Reachability::kReachable, SteadyClock::now());
}

void FailureDetector::NoteContact() {
  const bool was_alone = this->IsIsolated() || !this->unshared.empty();
  this->last_contact = SteadyClock::now();
  if (was_alone) this->returned_at = this->last_contact;
  // What was concluded while nobody answered says nothing of the others.
  for (const std::string& node : std::exchange(this->unshared, {})) {
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
      if (accusations.size() >= kMaxAccusations) return accusations;
      const bool is_accused = state->own_reachability == Reachability::kUnreachable;
      const bool is_shared = !this->unshared.contains(state->member.node);
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
  this->context.outbox.Add(to, part, Lane::kNews);
}

}  // namespace fireflyrun::membership
