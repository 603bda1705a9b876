#include "membership/zone_monitor.h"

#include "common/random.h"
#include "membership/control_address.h"
#include "membership/delegates.h"

namespace fireflyrun::membership {

namespace {

// Ping periods that a contradicted delegate waits before it announces the same zone as cut off.
constexpr int kDenialHoldPeriods = 10;
// Ping periods for which an ack from a zone contradicts an announcement that it is cut off.
constexpr int kRecentAckPeriods = 3;

}  // namespace

void ZoneMonitor::Start() {
  this->last_tick = SteadyClock::now();
  this->tick =
      this->context.timers.Every(this->context.options.ping_period, [this] { this->Tick(); });
}

void ZoneMonitor::Tick() {
  const auto& options = this->context.options;
  const SteadyTime now = SteadyClock::now();
  const bool was_paused = now - this->last_tick > options.ping_period + options.ack_timeout;
  this->last_tick = now;
  const bool is_delegate = this->context.picker.SelfIsDelegate();
  for (const std::string& zone : this->context.view.Zones()) {
    if (zone == this->context.view.Self().zone) continue;
    ZoneState& zone_state = this->zone_states[zone];
    if (was_paused || !is_delegate) {
      zone_state.ping = 0;
      zone_state.failures = 0;
    }
    if (is_delegate) this->Check(zone, zone_state);
  }
}

void ZoneMonitor::Check(const std::string& zone, ZoneState& zone_state) {
  const SteadyTime now = SteadyClock::now();
  if (zone_state.ping != 0) ++zone_state.failures;
  const bool is_due = zone_state.failures >= this->context.options.zone_failure_limit;
  if (is_due && !this->context.view.IsZoneCut(zone) &&
      now >= zone_state.announcements_paused_until) {
    this->Announce(zone, zone_state, true);
  }
  this->SendPing(zone, zone_state);
}

void ZoneMonitor::SendPing(const std::string& zone, ZoneState& zone_state) {
  const std::size_t delegates = this->context.options.delegates_per_zone;
  const std::size_t turn = zone_state.failures % (2 * delegates);
  const MemberState* target = nullptr;
  if (turn < delegates) {
    target = this->context.picker.RemoteDelegate(zone, turn);
  }
  if (target == nullptr) {
    View::StatePointers present = this->context.view.MembersOf(zone);
    std::erase_if(present, [](const MemberState* state) { return !state->IsPresent(); });
    if (present.empty()) {
      zone_state.ping = 0;
      return;
    }
    target = present[RandomBelow(present.size())];
  }
  zone_state.ping = RandomBits() | 1;
  pb::Part part;
  part.mutable_ping()->set_sequence(zone_state.ping);
  part.mutable_ping()->set_node(target->member.node);
  this->context.outbox.Add(ControlAddressOf(target->member), part, SendPriority::kUrgent);
}

bool ZoneMonitor::OnAck(const pb::Ack& ack) {
  for (auto& [zone, zone_state] : this->zone_states) {
    if (zone_state.ping != ack.sequence()) continue;
    zone_state.ping = 0;
    zone_state.failures = 0;
    zone_state.last_ack = SteadyClock::now();
    this->detector.RecordContact();
    if (this->context.view.IsZoneCut(zone)) this->Announce(zone, zone_state, false);
    return true;
  }
  return false;
}

void ZoneMonitor::Announce(const std::string& zone, ZoneState& zone_state, bool cut) {
  const SteadyTime now = SteadyClock::now();
  this->context.view.SetZoneCut(zone, cut, now);
  // An isolated node must not override its zone's announcements when it reconnects.
  if (this->detector.IsIsolated()) return;
  ++zone_state.sequence;
  zone_state.announced_cut = cut;
  this->Push(zone, cut, zone_state.sequence);
}

void ZoneMonitor::OnAnnouncement(const pb::ZoneBelief& belief) {
  const std::string& zone = belief.zone();
  View& view = this->context.view;
  if (zone == view.Self().zone || view.CountPresent(zone) == 0) return;
  const auto& options = this->context.options;
  const SteadyTime now = SteadyClock::now();
  ZoneState& zone_state = this->zone_states[zone];
  const bool is_tie = belief.sequence() == zone_state.sequence;
  const bool reopens_tie = is_tie && !belief.cut() && view.IsZoneCut(zone);
  if (belief.sequence() <= zone_state.sequence && !reopens_tie) return;

  zone_state.sequence = belief.sequence();
  const bool has_recent_ack = now - zone_state.last_ack < kRecentAckPeriods * options.ping_period;
  if (belief.cut() && has_recent_ack) {
    this->Announce(zone, zone_state, false);
    return;
  }
  if (zone_state.announced_cut && !belief.cut()) {
    zone_state.announcements_paused_until = now + kDenialHoldPeriods * options.ping_period;
    zone_state.announced_cut = false;
  }
  view.SetZoneCut(zone, belief.cut(), now);
  this->Push(zone, belief.cut(), zone_state.sequence);
}

void ZoneMonitor::Push(const std::string& zone, bool cut, std::uint64_t sequence) {
  pb::Part part;
  part.mutable_zone_belief()->set_zone(zone);
  part.mutable_zone_belief()->set_cut(cut);
  part.mutable_zone_belief()->set_sequence(sequence);
  const auto peers = this->context.picker.PickNeighbors(this->context.options.fanout);
  this->context.outbox.AddToAll(peers, part, SendPriority::kUrgent);
}

std::uint64_t ZoneMonitor::SequenceOf(const std::string& zone) const {
  const auto found = this->zone_states.find(zone);
  return found == this->zone_states.end() ? 0 : found->second.sequence;
}

}  // namespace fireflyrun::membership
