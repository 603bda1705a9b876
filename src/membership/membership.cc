#include "membership/membership.h"

#include <utility>

#include "membership/control_address.h"
#include "membership/control_context.h"
#include "membership/failure_detector.h"
#include "membership/first_contact.h"
#include "membership/fleet_collector.h"
#include "membership/gossip.h"
#include "membership/record_spread.h"
#include "membership/zone_monitor.h"

namespace fireflyrun::membership {

namespace {

constexpr Duration kForgetPeriod = std::chrono::seconds(10);
constexpr std::size_t kSmallBatch = 16;  // Entries of one answer that are worth pushing on.
constexpr std::size_t kMaxStrangers = 16;
constexpr int kLeaveFlushes = 10;

bool HasFewEntries(const pb::Envelope& envelope) {
  std::size_t entries = 0;
  for (const pb::Part& part : envelope.parts()) entries += part.has_member() ? 1 : 0;
  return entries <= kSmallBatch;
}

}  // namespace

struct Membership::Parts {
  Parts(TimerService& timer_service, MembershipOptions given, SendHook send, RecordHooks records);

  void OnEnvelope(const pb::Envelope& envelope);
  void OnPart(const pb::Part& part, const pb::Envelope& envelope, bool push_on);
  void OnPingPart(const pb::Part& part, const std::string& from);
  void OnRecordPart(const pb::Part& part, const pb::Envelope& envelope);
  void OnMember(const pb::MemberEntry& entry, const std::string& from, bool push_on);
  void OnDigest(const pb::Digest& digest, const pb::Envelope& envelope);
  void CompleteDigest(pb::Digest& digest) const;
  void OnStranger(const pb::Envelope& envelope);
  bool IsFromNamesake(const pb::Envelope& envelope);
  void UpdateSelf(const std::function<void(Member&)>& change);

  TimerService& timers;
  MembershipOptions options;
  View view;
  ControlCounters counters;
  Outbox outbox;
  PeerPicker picker;
  ControlContext context;
  FailureDetector detector;
  ZoneMonitor zones;
  Gossip gossip;
  RecordSpread records;
  FirstContact first_contact;
  FleetCollector fleet;
  Findings strangers;
  TimerSubscription forget_timer;
  TimerSubscription leave_timer;
  TimerSubscription repeat_timer;
  bool started = false;
};

Membership::Parts::Parts(TimerService& timer_service, MembershipOptions given, SendHook send,
                         RecordHooks record_hooks)
    : timers(timer_service),
      options(std::move(given)),
      view(options.self, SteadyClock::now()),
      outbox(timers, options, std::move(send), counters),
      picker(view, options),
      context{timers, options, view, outbox, picker},
      detector(context),
      zones(context, detector),
      gossip(context, [this](pb::Digest& digest) { this->CompleteDigest(digest); }),
      records(context, std::move(record_hooks)),
      first_contact(context),
      fleet(context, [this] { return this->records.LocalRevision(); }) {
  this->view.Subscribe([this](ViewChange change, const MemberState& state) {
    const bool is_own_entry = change == ViewChange::kEntry && &state.member == &this->view.Self();
    if (is_own_entry && this->started) this->gossip.Push(state.member);
  });
}

void Membership::Parts::CompleteDigest(pb::Digest& digest) const {
  digest.set_records_revision(this->records.LocalRevision());
  for (pb::Accusation& accusation : this->detector.Unreachable()) {
    *digest.add_unreachable() = std::move(accusation);
  }
  for (pb::ZoneDigest& zone : *digest.mutable_zones()) {
    zone.set_belief_sequence(this->zones.SequenceOf(zone.zone()));
  }
}

bool Membership::Parts::IsFromNamesake(const pb::Envelope& envelope) {
  const Member& self = this->view.Self();
  if (envelope.node() != self.node) return false;
  if (envelope.address() != ControlAddressOf(self)) {
    this->view.AddConflict(self.node, "another node at " + envelope.address() +
                                          " uses this node's name; each node needs its own");
  }
  return true;
}

void Membership::Parts::OnStranger(const pb::Envelope& envelope) {
  ++this->counters.dropped_other_cluster;
  if (this->strangers.size() >= kMaxStrangers) return;
  for (const Finding& known : this->strangers) {
    if (known.place == envelope.node()) return;
  }
  const std::string message = "a node of cluster \"" + envelope.cluster() + "\" at " +
                              envelope.address() + " sends to this node of cluster \"" +
                              this->options.cluster + "\"; its messages are dropped";
  this->strangers.push_back(Finding{envelope.node(), message});
  this->view.AddConflict(envelope.node(), message);
}

void Membership::Parts::OnEnvelope(const pb::Envelope& envelope) {
  if (envelope.cluster() != this->options.cluster) {
    this->OnStranger(envelope);
    return;
  }
  if (this->IsFromNamesake(envelope)) return;
  this->detector.OnHeard(envelope.node(), envelope.address());
  const bool push_on = HasFewEntries(envelope);
  // Entries before digests, so that what the same message brings is not asked for.
  for (const bool is_digest_turn : {false, true}) {
    for (const pb::Part& part : envelope.parts()) {
      if (part.has_digest() == is_digest_turn) this->OnPart(part, envelope, push_on);
    }
  }
}

void Membership::Parts::OnPart(const pb::Part& part, const pb::Envelope& envelope, bool push_on) {
  const auto* field = pb::Part::descriptor()->FindFieldByNumber(part.body_case());
  if (field == nullptr) return;
  ++this->counters.parts_received[field->name()];
  const std::string& from = envelope.address();
  switch (part.body_case()) {
    case pb::Part::kMember:
      this->OnMember(part.member(), from, push_on || part.member().pushed());
      break;
    case pb::Part::kDigest:
      this->OnDigest(part.digest(), envelope);
      break;
    case pb::Part::kMarks:
      this->gossip.OnMarks(part.marks(), from);
      break;
    case pb::Part::kWanted:
      this->gossip.OnWanted(part.wanted(), from);
      break;
    case pb::Part::kJoin:
      this->gossip.Welcome(envelope.zone(), from);
      break;
    case pb::Part::kZoneBelief:
      if (envelope.zone() == this->view.Self().zone) this->zones.OnBelief(part.zone_belief());
      break;
    case pb::Part::kFleetQuery:
      this->fleet.OnQuery(part.fleet_query(), from);
      break;
    case pb::Part::kFleetReply:
      this->fleet.OnReply(part.fleet_reply());
      break;
    default:
      this->OnPingPart(part, from);
      this->OnRecordPart(part, envelope);
      break;
  }
}

void Membership::Parts::OnPingPart(const pb::Part& part, const std::string& from) {
  if (part.has_ping()) this->detector.OnPing(part.ping(), from);
  if (part.has_ping_request()) this->detector.OnPingRequest(part.ping_request(), from);
  if (part.has_accusation()) this->detector.OnAccusation(part.accusation(), from);
  if (part.has_ack() && !this->zones.OnAck(part.ack())) this->detector.OnAck(part.ack());
}

void Membership::Parts::OnRecordPart(const pb::Part& part, const pb::Envelope& envelope) {
  const std::string& from = envelope.address();
  if (part.has_change_set()) {
    const bool from_own_zone = envelope.zone() == this->view.Self().zone;
    this->records.OnChangeSet(part.change_set(), from, from_own_zone);
  }
  if (part.has_record_notice()) this->records.OnRevision(part.record_notice().revision(), from);
  if (part.has_record_request()) this->records.OnRequest(part.record_request(), from);
  if (part.has_transfer_chunk()) this->records.OnChunk(part.transfer_chunk(), from);
}

void Membership::Parts::OnMember(const pb::MemberEntry& entry, const std::string& from,
                                 bool push_on) {
  if (!this->gossip.OnMember(entry, from) || !push_on) return;
  const MemberState* state = this->view.Find(entry.node());
  if (state->member.node != this->view.Self().node) this->gossip.Push(state->member);
}

void Membership::Parts::OnDigest(const pb::Digest& digest, const pb::Envelope& envelope) {
  const std::string& from = envelope.address();
  this->first_contact.OnAnswer();
  this->gossip.OnDigest(digest, from);
  this->records.OnRevision(digest.records_revision(), from);
  for (const pb::Accusation& accusation : digest.unreachable()) {
    this->detector.OnAccusation(accusation, from);
  }
  if (envelope.zone() != this->view.Self().zone) return;
  for (const pb::ZoneDigest& zone : digest.zones()) {
    pb::ZoneBelief belief;
    belief.set_zone(zone.zone());
    belief.set_cut(zone.cut());
    belief.set_sequence(zone.belief_sequence());
    this->zones.OnBelief(belief);
  }
}

void Membership::Parts::UpdateSelf(const std::function<void(Member&)>& change) {
  this->view.UpdateSelf(change, SteadyClock::now());
}

Membership::Membership(TimerService& timers, MembershipOptions options, SendHook send,
                       RecordHooks records)
    : parts(std::make_unique<Parts>(timers, std::move(options), std::move(send),
                                    std::move(records))) {}

Membership::~Membership() = default;

void Membership::Start() {
  Parts& own = *this->parts;
  own.started = true;
  own.detector.Start();
  own.zones.Start();
  own.gossip.Start();
  own.first_contact.Start();
  own.forget_timer =
      own.timers.Every(kForgetPeriod, [this] { this->parts->view.Forget(SteadyClock::now()); });
}

void Membership::AddContact(const std::string& address) { this->parts->first_contact.Add(address); }

bool Membership::HasJoined() const { return this->parts->first_contact.HasJoined(); }

void Membership::OnMessage(std::string_view bytes) {
  Parts& own = *this->parts;
  ++own.counters.messages_received;
  own.counters.bytes_received += bytes.size();
  pb::Envelope envelope;
  const bool is_whole = envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (!is_whole || envelope.node().empty() || envelope.address().empty()) {
    ++own.counters.dropped_malformed;
    return;
  }
  own.OnEnvelope(envelope);
}

void Membership::AnnounceTarget(const std::string& service, std::uint32_t slots) {
  const Member& self = this->parts->view.Self();
  const bool is_absent = self.target_state == TargetState::kAbsent;
  if (!is_absent && self.service == service && self.slots == slots) return;
  this->parts->UpdateSelf([&](Member& own) {
    own.service = service;
    own.slots = slots;
    if (is_absent) own.target_state = TargetState::kServing;
  });
}

void Membership::SetTargetState(TargetState state) {
  if (this->parts->view.Self().target_state == state) return;
  this->parts->UpdateSelf([state](Member& own) {
    own.target_state = state;
    if (state != TargetState::kAbsent) return;
    own.service.clear();
    own.slots = 0;
  });
}

void Membership::SetTicketWindow(std::uint32_t window) {
  if (this->parts->view.Self().ticket_window == window) return;
  this->parts->UpdateSelf([window](Member& own) { own.ticket_window = window; });
}

void Membership::SetStopped() {
  if (!this->parts->view.Self().stopped) {
    this->parts->UpdateSelf([](Member& own) { own.stopped = true; });
  }
  this->parts->gossip.FlushNews();
}

void Membership::Leave(std::function<void()> done) {
  this->SetStopped();
  Parts& own = *this->parts;
  const Duration wait = kLeaveFlushes * own.options.flush_period;
  own.repeat_timer = own.timers.After(wait / 2, [this] {
    this->parts->gossip.Push(this->parts->view.Self());
    this->parts->gossip.FlushNews();
  });
  own.leave_timer = own.timers.After(wait, std::move(done));
}

const View& Membership::GetView() const { return this->parts->view; }

std::size_t Membership::Subscribe(View::Hook hook) {
  return this->parts->view.Subscribe(std::move(hook));
}

void Membership::Unsubscribe(std::size_t id) { this->parts->view.Unsubscribe(id); }

void Membership::ReportFailure(const std::string& node) {
  this->parts->detector.ReportFailure(node);
}

void Membership::ReportSuccess(const std::string& node) {
  this->parts->detector.ReportSuccess(node);
}

bool Membership::ShouldWatchStore() const {
  return !this->parts->view.Self().stopped && this->parts->picker.SelfIsDelegate();
}

void Membership::PublishChangeSet(std::string_view change_set) {
  this->parts->records.Publish(change_set);
}

void Membership::CollectFleet(FleetHandler handler) {
  this->parts->fleet.Collect(std::move(handler));
}

const ControlCounters& Membership::Counters() const { return this->parts->counters; }

Findings Membership::Problems() const { return this->parts->view.Conflicts(); }

}  // namespace fireflyrun::membership
