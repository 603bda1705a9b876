#include "membership/membership.h"

#include <utility>

#include "membership/control_address.h"
#include "membership/control_context.h"
#include "membership/failure_detector.h"
#include "membership/fleet_collector.h"
#include "membership/fleet_joiner.h"
#include "membership/gossip.h"
#include "membership/record_gossip.h"
#include "membership/revision_codec.h"
#include "membership/zone_monitor.h"

namespace fireflyrun::membership {

namespace {

constexpr Duration kExpiryPeriod = std::chrono::seconds(10);
// New entries are forwarded only if marked as pushed or if their message has at most this many
// entries.
constexpr std::size_t kMaxPushBatchEntries = 16;
// Nodes of other clusters that are reported.
constexpr std::size_t kMaxOtherClusterNodes = 16;
// Flush periods between the announcement that this node leaves and the end of Leave().
constexpr int kLeaveFlushPeriods = 10;

bool HasFewEntries(const pb::Envelope& envelope) {
  std::size_t entries = 0;
  for (const pb::Part& part : envelope.parts()) entries += part.has_member() ? 1 : 0;
  return entries <= kMaxPushBatchEntries;
}

}  // namespace

struct Membership::Implementation {
  Implementation(TimerService& timer_service, MembershipOptions membership_options, SendHook send,
                 RecordHooks records);

  void OnEnvelope(const pb::Envelope& envelope);
  void OnPart(const pb::Part& part, const pb::Envelope& envelope, bool forward);
  void OnPingPart(const pb::Part& part, const std::string& from);
  void OnRecordPart(const pb::Part& part, const pb::Envelope& envelope);
  void OnMember(const pb::MemberEntry& entry, const std::string& from, bool forward);
  void OnDigest(const pb::Digest& digest, const pb::Envelope& envelope);
  void CompleteDigest(pb::Digest& digest) const;
  void OnOtherCluster(const pb::Envelope& envelope);
  bool HasOwnName(const pb::Envelope& envelope);
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
  RecordGossip records;
  FleetJoiner joiner;
  FleetCollector fleet;
  Findings other_cluster_nodes;
  TimerSubscription expiry_timer;
  TimerSubscription leave_timer;
  TimerSubscription repeat_timer;
  bool started = false;
};

Membership::Implementation::Implementation(TimerService& timer_service,
                                           MembershipOptions membership_options, SendHook send,
                                           RecordHooks record_hooks)
    : timers(timer_service),
      options(std::move(membership_options)),
      view(options.self, SteadyClock::now()),
      outbox(timers, options, std::move(send), counters),
      picker(view, options),
      context{timers, options, view, outbox, picker},
      detector(context),
      zones(context, detector),
      gossip(context, [this](pb::Digest& digest) { this->CompleteDigest(digest); }),
      records(context, std::move(record_hooks)),
      joiner(context),
      fleet(context, [this] { return this->records.LocalRevision(); }) {
  this->view.Subscribe([this](ViewChange change, const MemberState& state) {
    const bool is_own_entry = change == ViewChange::kEntry && &state.member == &this->view.Self();
    if (is_own_entry && this->started) this->gossip.Push(state.member);
  });
}

void Membership::Implementation::CompleteDigest(pb::Digest& digest) const {
  const records::BookRevision revision = this->records.LocalRevision();
  digest.set_records_revision(static_cast<std::uint64_t>(revision.number));
  digest.set_records_rest(revision.rest);
  digest.set_store_generation(this->records.StoreGeneration());
  for (pb::Accusation& accusation : this->detector.Unreachable()) {
    *digest.add_unreachable() = std::move(accusation);
  }
  for (pb::ZoneDigest& zone : *digest.mutable_zones()) {
    zone.set_belief_sequence(this->zones.SequenceOf(zone.zone()));
  }
}

bool Membership::Implementation::HasOwnName(const pb::Envelope& envelope) {
  const Member& self = this->view.Self();
  if (envelope.node() != self.node) return false;
  if (envelope.address() != ControlAddressOf(self)) {
    this->view.AddConflict(self.node, "another node at " + envelope.address() +
                                          " uses this node's name; each node needs its own");
  }
  return true;
}

void Membership::Implementation::OnOtherCluster(const pb::Envelope& envelope) {
  ++this->counters.dropped_other_cluster;
  if (this->other_cluster_nodes.size() >= kMaxOtherClusterNodes) return;
  for (const Finding& known : this->other_cluster_nodes) {
    if (known.place == envelope.node()) return;
  }
  const std::string message = "a node of cluster \"" + envelope.cluster() + "\" at " +
                              envelope.address() + " sends to this node of cluster \"" +
                              this->options.cluster + "\"; its messages are dropped";
  this->other_cluster_nodes.push_back(Finding{envelope.node(), message});
  this->view.AddConflict(envelope.node(), message);
}

void Membership::Implementation::OnEnvelope(const pb::Envelope& envelope) {
  if (envelope.cluster() != this->options.cluster) {
    this->OnOtherCluster(envelope);
    return;
  }
  if (this->HasOwnName(envelope)) return;
  this->detector.OnMessageFrom(envelope.node(), envelope.address());
  const bool forward = HasFewEntries(envelope);
  // Entries are handled before digests, so that entries in the same message are not requested.
  for (const bool handles_digests : {false, true}) {
    for (const pb::Part& part : envelope.parts()) {
      if (part.has_digest() == handles_digests) this->OnPart(part, envelope, forward);
    }
  }
}

void Membership::Implementation::OnPart(const pb::Part& part, const pb::Envelope& envelope,
                                        bool forward) {
  const auto* field = pb::Part::descriptor()->FindFieldByNumber(part.body_case());
  if (field == nullptr) return;
  ++this->counters.parts_received[field->name()];
  const std::string& from = envelope.address();
  switch (part.body_case()) {
    case pb::Part::kMember:
      this->OnMember(part.member(), from, forward || part.member().pushed());
      break;
    case pb::Part::kDigest:
      this->OnDigest(part.digest(), envelope);
      break;
    case pb::Part::kMarks:
      this->gossip.OnFingerprints(part.marks(), from);
      break;
    case pb::Part::kWanted:
      this->gossip.OnEntryRequest(part.wanted(), from);
      break;
    case pb::Part::kJoin:
      this->gossip.ReplyToJoin(envelope.zone(), from);
      break;
    case pb::Part::kZoneBelief:
      if (envelope.zone() == this->view.Self().zone) this->zones.OnAnnouncement(part.zone_belief());
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

void Membership::Implementation::OnPingPart(const pb::Part& part, const std::string& from) {
  if (part.has_ping()) this->detector.OnPing(part.ping(), from);
  if (part.has_ping_request()) this->detector.OnPingRequest(part.ping_request(), from);
  if (part.has_accusation()) this->detector.OnAccusation(part.accusation(), from);
  if (part.has_ack() && !this->zones.OnAck(part.ack())) this->detector.OnAck(part.ack());
}

void Membership::Implementation::OnRecordPart(const pb::Part& part, const pb::Envelope& envelope) {
  const std::string& from = envelope.address();
  if (part.has_change_set()) {
    const bool from_own_zone = envelope.zone() == this->view.Self().zone;
    this->records.OnChangeSet(part.change_set(), from, from_own_zone);
  }
  if (part.has_record_notice()) {
    const pb::RecordNotice& notice = part.record_notice();
    this->records.OnRevision(RevisionOf(notice.revision(), notice.rest()), from);
  }
  if (part.has_record_request()) this->records.OnRequest(part.record_request(), from);
  if (part.has_transfer_chunk()) this->records.OnChunk(part.transfer_chunk(), from);
}

void Membership::Implementation::OnMember(const pb::MemberEntry& entry, const std::string& from,
                                          bool forward) {
  if (!this->gossip.OnMember(entry, from) || !forward) return;
  const MemberState* state = this->view.Find(entry.node());
  if (state->member.node != this->view.Self().node) this->gossip.Push(state->member);
}

void Membership::Implementation::OnDigest(const pb::Digest& digest, const pb::Envelope& envelope) {
  const std::string& from = envelope.address();
  this->joiner.OnResponse();
  this->gossip.OnDigest(digest, from);
  this->records.OnRevision(RevisionOf(digest.records_revision(), digest.records_rest()), from);
  this->records.OnStoreGeneration(digest.store_generation());
  for (const pb::Accusation& accusation : digest.unreachable()) {
    this->detector.OnAccusation(accusation, from);
  }
  if (envelope.zone() != this->view.Self().zone) return;
  for (const pb::ZoneDigest& zone : digest.zones()) {
    pb::ZoneBelief belief;
    belief.set_zone(zone.zone());
    belief.set_cut(zone.cut());
    belief.set_sequence(zone.belief_sequence());
    this->zones.OnAnnouncement(belief);
  }
}

void Membership::Implementation::UpdateSelf(const std::function<void(Member&)>& change) {
  this->view.UpdateSelf(change, SteadyClock::now());
}

Membership::Membership(TimerService& timers, MembershipOptions options, SendHook send,
                       RecordHooks records)
    : implementation(std::make_unique<Implementation>(timers, std::move(options), std::move(send),
                                                      std::move(records))) {}

Membership::~Membership() = default;

void Membership::Start() {
  Implementation& own = *this->implementation;
  own.started = true;
  own.detector.Start();
  own.zones.Start();
  own.gossip.Start();
  own.joiner.Start();
  own.expiry_timer = own.timers.Every(
      kExpiryPeriod, [this] { this->implementation->view.RemoveExpired(SteadyClock::now()); });
}

void Membership::AddContact(const std::string& address) {
  this->implementation->joiner.Add(address);
}

bool Membership::HasJoined() const { return this->implementation->joiner.HasJoined(); }

void Membership::OnMessage(std::string_view bytes) {
  Implementation& own = *this->implementation;
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
  const Member& self = this->implementation->view.Self();
  const bool is_absent = self.target_state == TargetState::kAbsent;
  if (!is_absent && self.service == service && self.slots == slots) return;
  this->implementation->UpdateSelf([&](Member& own) {
    own.service = service;
    own.slots = slots;
    if (is_absent) own.target_state = TargetState::kServing;
  });
}

void Membership::SetTargetState(TargetState state) {
  if (this->implementation->view.Self().target_state == state) return;
  this->implementation->UpdateSelf([state](Member& own) {
    own.target_state = state;
    if (state != TargetState::kAbsent) return;
    own.service.clear();
    own.slots = 0;
  });
}

void Membership::SetTicketWindow(std::uint32_t window) {
  if (this->implementation->view.Self().ticket_window == window) return;
  this->implementation->UpdateSelf([window](Member& own) { own.ticket_window = window; });
}

void Membership::SetStopped() {
  if (!this->implementation->view.Self().stopped) {
    this->implementation->UpdateSelf([](Member& own) { own.stopped = true; });
  }
  this->implementation->gossip.FlushUpdates();
}

void Membership::Leave(std::function<void()> done) {
  this->SetStopped();
  Implementation& own = *this->implementation;
  const Duration wait = kLeaveFlushPeriods * own.options.flush_period;
  own.repeat_timer = own.timers.After(wait / 2, [this] {
    this->implementation->gossip.Push(this->implementation->view.Self());
    this->implementation->gossip.FlushUpdates();
  });
  own.leave_timer = own.timers.After(wait, std::move(done));
}

const View& Membership::GetView() const { return this->implementation->view; }

std::size_t Membership::Subscribe(View::Hook hook) {
  return this->implementation->view.Subscribe(std::move(hook));
}

void Membership::Unsubscribe(std::size_t id) { this->implementation->view.Unsubscribe(id); }

void Membership::ReportFailure(const std::string& node) {
  this->implementation->detector.ReportFailure(node);
}

void Membership::ReportSuccess(const std::string& node) {
  this->implementation->detector.ReportSuccess(node);
}

bool Membership::ShouldWatchStore() const {
  return !this->implementation->view.Self().stopped &&
         this->implementation->picker.SelfIsDelegate();
}

void Membership::PublishChangeSet(std::string_view change_set) {
  this->implementation->records.Publish(change_set);
}

void Membership::CollectFleet(FleetHandler handler) {
  this->implementation->fleet.Collect(std::move(handler));
}

const ControlCounters& Membership::Counters() const { return this->implementation->counters; }

Findings Membership::Problems() const { return this->implementation->view.Conflicts(); }

}  // namespace fireflyrun::membership
