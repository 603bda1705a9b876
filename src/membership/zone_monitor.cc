#include "membership/zone_monitor.h"

#include "common/random.h"
#include "membership/control_address.h"
#include "membership/delegates.h"

namespace fireflyrun::membership {

namespace {

constexpr int kDenialPeriods = 10;
constexpr int kFreshPeriods = 3;

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
    Watch& watch = this->watches[zone];
    if (was_paused || !is_delegate) {
      watch.ping = 0;
      watch.failures = 0;
    }
    if (is_delegate) this->Check(zone, watch);
  }
}

void ZoneMonitor::Check(const std::string& zone, Watch& watch) {
  const SteadyTime now = SteadyClock::now();
  if (watch.ping != 0) ++watch.failures;
  const bool is_due = watch.failures >= this->context.options.zone_tries;
  if (is_due && !this->context.view.IsZoneCut(zone) && now >= watch.denied_until) {
    this->Announce(zone, watch, true);
  }
  this->SendPing(zone, watch);
}

void ZoneMonitor::SendPing(const std::string& zone, Watch& watch) {
  const std::size_t delegates = this->context.options.delegates_per_zone;
  const std::size_t turn = watch.failures % (2 * delegates);
  const MemberState* target = nullptr;
  if (turn < delegates) {
    target = this->context.picker.RemoteDelegate(zone, turn);
  }
  if (target == nullptr) {
    View::StatePointers present = this->context.view.MembersOf(zone);
    std::erase_if(present, [](const MemberState* state) { return !state->IsPresent(); });
    if (present.empty()) {
      watch.ping = 0;
      return;
    }
    target = present[RandomBelow(present.size())];
  }
  watch.ping = RandomBits() | 1;
  pb::Part part;
  part.mutable_ping()->set_sequence(watch.ping);
  part.mutable_ping()->set_node(target->member.node);
  this->context.outbox.Add(ControlAddressOf(target->member), part, Lane::kUrgent);
}

bool ZoneMonitor::OnAck(const pb::Ack& ack) {
  for (auto& [zone, watch] : this->watches) {
    if (watch.ping != ack.sequence()) continue;
    watch.ping = 0;
    watch.failures = 0;
    watch.last_answer = SteadyClock::now();
    this->detector.NoteContact();
    if (this->context.view.IsZoneCut(zone)) this->Announce(zone, watch, false);
    return true;
  }
  return false;
}

void ZoneMonitor::Announce(const std::string& zone, Watch& watch, bool cut) {
  const SteadyTime now = SteadyClock::now();
  this->context.view.SetZoneCut(zone, cut, now);
  // A node that nobody answers must not outvote its zone when it returns.
  if (this->detector.IsIsolated()) return;
  ++watch.sequence;
  watch.claimed = cut;
  this->Spread(zone, cut, watch.sequence);
}

void ZoneMonitor::OnBelief(const pb::ZoneBelief& belief) {
  const std::string& zone = belief.zone();
  View& view = this->context.view;
  if (zone == view.Self().zone || view.CountPresent(zone) == 0) return;
  const auto& options = this->context.options;
  const SteadyTime now = SteadyClock::now();
  Watch& watch = this->watches[zone];
  const bool is_tie = belief.sequence() == watch.sequence;
  const bool reopens_tie = is_tie && !belief.cut() && view.IsZoneCut(zone);
  if (belief.sequence() <= watch.sequence && !reopens_tie) return;

  watch.sequence = belief.sequence();
  const bool is_fresh = now - watch.last_answer < kFreshPeriods * options.ping_period;
  if (belief.cut() && is_fresh) {
    this->Announce(zone, watch, false);
    return;
  }
  if (watch.claimed && !belief.cut()) {
    watch.denied_until = now + kDenialPeriods * options.ping_period;
    watch.claimed = false;
  }
  view.SetZoneCut(zone, belief.cut(), now);
  this->Spread(zone, belief.cut(), watch.sequence);
}

void ZoneMonitor::Spread(const std::string& zone, bool cut, std::uint64_t sequence) {
  pb::Part part;
  part.mutable_zone_belief()->set_zone(zone);
  part.mutable_zone_belief()->set_cut(cut);
  part.mutable_zone_belief()->set_sequence(sequence);
  const auto peers = this->context.picker.PickNeighbours(this->context.options.fanout);
  this->context.outbox.AddToAll(peers, part, Lane::kUrgent);
}

std::uint64_t ZoneMonitor::SequenceOf(const std::string& zone) const {
  const auto found = this->watches.find(zone);
  return found == this->watches.end() ? 0 : found->second.sequence;
}

}  // namespace fireflyrun::membership
