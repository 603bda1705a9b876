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

constexpr std::size_t kWholeZoneGap = 16;  // Entries lacking before a zone is asked for as a whole.
constexpr std::size_t kMaxWelcomeEntries = 256;
constexpr std::size_t kFewWelcomeEntries = 8;  // While many join at once.

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
  this->rotate_timer = this->context.timers.Every(options.neighbour_period,
                                                  [this] { this->context.picker.Rotate(); });
}

void Gossip::Push(const Member& member) {
  const bool is_own = member.node == this->context.view.Self().node;
  this->news.push_back(News{member.zone, is_own, EntryPart(member, true)});
  if (this->news.size() > 1) return;
  this->news_timer =
      this->context.timers.After(this->context.options.flush_period, [this] { this->FlushNews(); });
}

void Gossip::FlushNews() {
  const std::vector<News> pending = std::exchange(this->news, {});
  if (pending.empty()) return;
  const auto neighbours = this->context.picker.PickNeighbours(this->context.options.fanout);
  for (const News& item : pending) this->PushOne(item, neighbours);
  this->context.outbox.Flush();
}

void Gossip::PushOne(const News& item, const std::vector<std::string>& neighbours) {
  PeerPicker& picker = this->context.picker;
  std::set<std::string> peers(neighbours.begin(), neighbours.end());
  if (item.is_own) {
    // The delegates carry it to the other zones, so they hear it first.
    for (std::string& address : picker.OwnDelegates()) peers.insert(std::move(address));
  }
  if (item.zone == this->context.view.Self().zone && picker.SelfIsDelegate()) {
    for (const MemberState* remote : picker.RemoteDelegates()) {
      peers.insert(ControlAddressOf(remote->member));
    }
  }
  this->context.outbox.AddToAll({peers.begin(), peers.end()}, item.part, Lane::kNews);
}

bool Gossip::OnMember(const pb::MemberEntry& entry, const std::string& from) {
  const std::optional<Member> member = DecodeMember(entry);
  if (!member) return false;
  View& view = this->context.view;
  const MergeResult result = view.Merge(*member, SteadyClock::now());
  if (result != MergeResult::kStale) return true;
  const MemberState* held = view.Find(member->node);
  const bool is_older = View::MarkOf(*member) != held->mark;
  if (is_older && !held->forgotten) {
    this->context.outbox.Add(from, EntryPart(held->member, false), Lane::kNews);
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
  this->context.outbox.Add(to, part, Lane::kBulk);
}

void Gossip::OnDigest(const pb::Digest& digest, const std::string& from) {
  const View& view = this->context.view;
  std::set<std::string> unseen;
  for (const std::string& zone : view.Zones()) unseen.insert(zone);
  bool holds_more = false;
  for (const pb::ZoneDigest& theirs : digest.zones()) {
    unseen.erase(theirs.zone());
    if (view.DigestOf(theirs.zone()) == theirs.digest()) continue;
    const std::size_t held = view.CountPresent(theirs.zone());
    const bool has_fewer = held < theirs.members();
    const bool is_mine_to_ask = has_fewer || (held == theirs.members() && !digest.answer());
    if (is_mine_to_ask) {
      this->SendMarks(theirs.zone(), theirs.members() - held, from);
    } else {
      holds_more = true;
    }
  }
  for (const std::string& zone : unseen) holds_more |= view.CountPresent(zone) > 0;
  if (holds_more && !digest.answer()) this->SendDigest(from, true);
}

void Gossip::SendMarks(const std::string& zone, std::size_t missing, const std::string& to) {
  std::string peer = to;
  if (missing > kWholeZoneGap) {
    const SteadyTime now = SteadyClock::now();
    SteadyTime& asked = this->asked_at[zone];
    if (now - asked < this->context.options.exchange_period) return;
    asked = now;
    const bool is_own_zone = zone == this->context.view.Self().zone;
    const auto peers = this->context.picker.PickInZone(1);
    if (!is_own_zone && !peers.empty()) peer = ControlAddressOf(peers.front()->member);
  }
  pb::Part part;
  part.mutable_marks()->set_zone(zone);
  for (const std::uint64_t mark : this->context.view.MarksIn(zone)) {
    part.mutable_marks()->add_marks(mark);
  }
  this->context.outbox.Add(peer, part, Lane::kBulk);
}

void Gossip::OnMarks(const pb::MarkList& list, const std::string& from) {
  const View& view = this->context.view;
  const std::vector<std::uint64_t> marks(list.marks().begin(), list.marks().end());
  this->SendEntries(view.MissingFrom(list.zone(), marks), from);
  const std::vector<std::uint64_t> unknown = view.UnknownMarks(list.zone(), marks);
  if (unknown.empty()) return;
  pb::Part part;
  part.mutable_wanted()->set_zone(list.zone());
  for (const std::uint64_t mark : unknown) part.mutable_wanted()->add_marks(mark);
  this->context.outbox.Add(from, part, Lane::kBulk);
}

void Gossip::OnWanted(const pb::MarkRequest& request, const std::string& from) {
  const std::vector<std::uint64_t> marks(request.marks().begin(), request.marks().end());
  this->SendEntries(this->context.view.FindMarks(request.zone(), marks), from);
}

void Gossip::SendEntries(const View::StatePointers& states, const std::string& to) {
  for (const MemberState* state : states) {
    this->context.outbox.Add(to, EntryPart(state->member, false), Lane::kBulk);
  }
}

void Gossip::Welcome(const std::string& zone, const std::string& to) {
  const View& view = this->context.view;
  // A contact that many ask at once names a few peers to each; those tell the rest.
  const bool is_busy =
      this->context.outbox.QueuedBytes() > this->context.options.max_queued_bytes / 4;
  const std::size_t limit = is_busy ? kFewWelcomeEntries : kMaxWelcomeEntries;
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
  // First, so that a queue running full keeps it: it ends the questions.
  this->SendDigest(to, true);
  this->SendEntries(states, to);
}

}  // namespace fireflyrun::membership
