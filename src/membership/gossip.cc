#include "membership/gossip.h"

#include <algorithm>
#include <set>
#include <utility>

#include "common/random.h"
#include "membership/control_address.h"
#include "membership/delegates.h"
#include "membership/member_codec.h"

namespace fireflyrun::membership {

namespace {

// Above this number of missing entries a node asks at most once per exchange period and zone. For
// another zone's entries it then asks a random member of its own zone, which gets them from its
// zone's delegates; only these ask the other zone.
constexpr std::size_t kManyMissingEntries = 16;
// Entries of the joining node's zone in the reply to a join request.
constexpr std::size_t kMaxJoinReplyEntries = 256;
constexpr std::size_t kMaxBusyJoinReplyEntries = 8;  // While many nodes join at once.

pb::Part EntryPart(const Member& member, bool pushed) {
  pb::Part part;
  *part.mutable_member() = EncodeMember(member);
  part.mutable_member()->set_pushed(pushed);
  return part;
}

}  // namespace

void Gossip::Start() {
  const auto& options = this->context.options;
  this->exchange_timer =
      this->context.timers.Every(options.exchange_period, [this] { this->Exchange(); });
  this->rotate_timer = this->context.timers.Every(options.neighbor_period,
                                                  [this] { this->context.picker.Rotate(); });
}

void Gossip::Push(const Member& member) {
  const bool is_own = member.node == this->context.view.Self().node;
  this->pending_updates.push_back(PendingUpdate{member.zone, is_own, EntryPart(member, true)});
  if (this->pending_updates.size() > 1) return;
  this->push_timer = this->context.timers.After(this->context.options.flush_period,
                                                [this] { this->FlushUpdates(); });
}

void Gossip::FlushUpdates() {
  const std::vector<PendingUpdate> pending = std::exchange(this->pending_updates, {});
  if (pending.empty()) return;
  const auto neighbors = this->context.picker.PickNeighbors(this->context.options.fanout);
  for (const PendingUpdate& item : pending) this->PushOne(item, neighbors);
  this->context.outbox.Flush();
}

void Gossip::PushOne(const PendingUpdate& item, const std::vector<std::string>& neighbors) {
  PeerPicker& picker = this->context.picker;
  std::set<std::string> peers(neighbors.begin(), neighbors.end());
  if (item.is_own) {
    // Own entries go directly to the delegates, which forward them to the other zones.
    for (std::string& address : picker.OwnZoneDelegates()) peers.insert(std::move(address));
  }
  if (item.zone == this->context.view.Self().zone && picker.SelfIsDelegate()) {
    for (const MemberState* remote : picker.RemoteDelegates()) {
      peers.insert(ControlAddressOf(remote->member));
    }
  }
  this->context.outbox.AddToAll({peers.begin(), peers.end()}, item.part, SendPriority::kUpdate);
}

bool Gossip::OnMember(const pb::MemberEntry& entry, const std::string& from) {
  const std::optional<Member> member = DecodeMember(entry);
  if (!member) return false;
  View& view = this->context.view;
  const MergeResult result = view.Merge(*member, SteadyClock::now());
  if (result != MergeResult::kStale) return true;
  const MemberState* held = view.Find(member->node);
  const bool is_older = View::FingerprintOf(*member) != held->fingerprint;
  if (is_older && !held->removed) {
    this->context.outbox.Add(from, EntryPart(held->member, false), SendPriority::kUpdate);
  }
  return false;
}

void Gossip::Exchange() {
  const auto peers = this->context.picker.PickInZone(1);
  for (const MemberState* peer : peers) {
    this->SendDigest(ControlAddressOf(peer->member), false);
  }
  if (!this->context.picker.SelfIsDelegate()) return;
  const auto remotes = this->context.picker.RemoteDelegates();
  if (remotes.empty()) return;
  const MemberState* remote = remotes[RandomBelow(remotes.size())];
  this->SendDigest(ControlAddressOf(remote->member), false);
}

pb::Digest Gossip::BuildDigest(bool answer) const {
  const View& view = this->context.view;
  pb::Digest digest;
  digest.set_answer(answer);
  for (const std::string& zone : view.Zones()) {
    pb::ZoneDigest& item = *digest.add_zones();
    item.set_zone(zone);
    item.set_digest(view.DigestOf(zone));
    item.set_members(static_cast<std::uint32_t>(view.CountPresent(zone)));
    item.set_cut(view.IsZoneCut(zone));
  }
  this->complete_digest(digest);
  return digest;
}

void Gossip::SendDigest(const std::string& to, bool answer) {
  pb::Part part;
  *part.mutable_digest() = this->BuildDigest(answer);
  this->context.outbox.Add(to, part, SendPriority::kBulk);
}

void Gossip::OnDigest(const pb::Digest& digest, const std::string& from) {
  const View& view = this->context.view;
  std::set<std::string> zones_missing_in_digest;
  for (const std::string& zone : view.Zones()) zones_missing_in_digest.insert(zone);
  bool holds_more = false;
  for (const pb::ZoneDigest& remote_zone : digest.zones()) {
    zones_missing_in_digest.erase(remote_zone.zone());
    if (view.DigestOf(remote_zone.zone()) == remote_zone.digest()) continue;
    const std::size_t held = view.CountPresent(remote_zone.zone());
    const bool has_fewer = held < remote_zone.members();
    const bool should_request = has_fewer || (held == remote_zone.members() && !digest.answer());
    if (should_request) {
      this->SendFingerprints(remote_zone.zone(), remote_zone.members() - held, from);
    } else {
      holds_more = true;
    }
  }
  for (const std::string& zone : zones_missing_in_digest) holds_more |= view.CountPresent(zone) > 0;
  if (holds_more && !digest.answer()) this->SendDigest(from, true);
}

void Gossip::SendFingerprints(const std::string& zone, std::size_t missing, const std::string& to) {
  std::string peer = to;
  if (missing > kManyMissingEntries) {
    const SteadyTime now = SteadyClock::now();
    SteadyTime& last_request = this->requested_at[zone];
    if (now - last_request < this->context.options.exchange_period) return;
    last_request = now;
    const bool is_own_zone = zone == this->context.view.Self().zone;
    const bool asks_sender = is_own_zone || this->context.picker.SelfIsDelegate();
    const auto peers = this->context.picker.PickInZone(1);
    if (!asks_sender && !peers.empty()) peer = ControlAddressOf(peers.front()->member);
  }
  pb::Part part;
  part.mutable_marks()->set_zone(zone);
  for (const std::uint64_t fingerprint : this->context.view.FingerprintsIn(zone)) {
    part.mutable_marks()->add_marks(fingerprint);
  }
  this->context.outbox.Add(peer, part, SendPriority::kBulk);
}

void Gossip::OnFingerprints(const pb::MarkList& list, const std::string& from) {
  const View& view = this->context.view;
  const std::vector<std::uint64_t> fingerprints(list.marks().begin(), list.marks().end());
  this->SendEntries(view.MissingFrom(list.zone(), fingerprints), from);
  const std::vector<std::uint64_t> unknown = view.UnknownFingerprints(list.zone(), fingerprints);
  if (unknown.empty()) return;
  pb::Part part;
  part.mutable_wanted()->set_zone(list.zone());
  for (const std::uint64_t fingerprint : unknown) part.mutable_wanted()->add_marks(fingerprint);
  this->context.outbox.Add(from, part, SendPriority::kBulk);
}

void Gossip::OnEntryRequest(const pb::MarkRequest& request, const std::string& from) {
  const std::vector<std::uint64_t> fingerprints(request.marks().begin(), request.marks().end());
  this->SendEntries(this->context.view.FindByFingerprint(request.zone(), fingerprints), from);
}

void Gossip::SendEntries(const View::StatePointers& states, const std::string& to) {
  for (const MemberState* state : states) {
    this->context.outbox.Add(to, EntryPart(state->member, false), SendPriority::kBulk);
  }
}

void Gossip::ReplyToJoin(const std::string& zone, const std::string& to) {
  const View& view = this->context.view;
  // A contact that receives many join requests at once sends each node only a few peers, from which
  // it gets the rest.
  const bool is_busy =
      this->context.outbox.QueuedBytes() > this->context.options.max_queued_bytes / 4;
  const std::size_t limit = is_busy ? kMaxBusyJoinReplyEntries : kMaxJoinReplyEntries;
  const View::StatePointers& members = view.MembersOf(zone);
  const std::size_t start = members.empty() ? 0 : RandomBelow(members.size());
  View::StatePointers states;
  for (std::size_t i = 0; i < members.size() && states.size() < limit; ++i) {
    const MemberState* state = members[(start + i) % members.size()];
    if (state->IsPresent()) states.push_back(state);
  }
  for (const std::string& other : view.Zones()) {
    if (other == zone) continue;
    const auto delegates = RankDelegates(view, other, this->context.options.delegates_per_zone);
    states.insert(states.end(), delegates.begin(), delegates.end());
  }
  // Sent first, so that it is not dropped when the queue fills up: it ends the join requests.
  this->SendDigest(to, true);
  this->SendEntries(states, to);
}

}  // namespace fireflyrun::membership
