#include "membership/view.h"

#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

#include "common/random.h"
#include "membership/control_address.h"
#include "membership/name_hash.h"

namespace fireflyrun::membership {

namespace {

auto OrderOf(const Member& member) { return std::tuple(member.incarnation, member.version); }

bool HaveOneAddress(const Member& left, const Member& right) {
  return left.ip == right.ip && left.control_port == right.control_port;
}

std::string DescribeTwo(const Member& held, const Member& heard) {
  return "two nodes use this name: one at " + ControlAddressOf(held) + ", one at " +
         ControlAddressOf(heard) + "; each node needs a name of its own";
}

std::uint64_t MarkFrom(std::uint64_t name_hash, const Member& member) {
  return MixBits(MixBits(name_hash + member.incarnation) + member.version);
}

}  // namespace

View::View(Member own_entry, SteadyTime now) {
  this->Insert(own_entry, now);
  this->self = this->members.begin()->second.get();
}

MergeResult View::Merge(const Member& heard, SteadyTime now) {
  if (heard.node == this->Self().node) return this->MergeSelf(heard, now);
  const auto found = this->members.find(heard.node);
  if (found == this->members.end()) return this->Insert(heard, now);

  MemberState& state = *found->second;
  const Member& held = state.member;
  const bool same_run = heard.incarnation == held.incarnation;
  if (same_run && !HaveOneAddress(held, heard)) {
    this->AddConflict(heard.node, DescribeTwo(held, heard));
    // The same one of the two stands on every node, whichever is heard first.
    const auto order = [](const Member& member) {
      return std::tuple(member.version, ControlAddressOf(member));
    };
    if (order(heard) > order(held)) this->Replace(state, heard, now);
    return MergeResult::kConflict;
  }
  if (OrderOf(heard) <= OrderOf(held)) return MergeResult::kStale;
  this->Replace(state, heard, now);
  return MergeResult::kNewer;
}

MergeResult View::MergeSelf(const Member& heard, SteadyTime now) {
  const Member& own = this->Self();
  if (heard.incarnation < own.incarnation) return MergeResult::kStale;
  const bool is_own_run = heard.incarnation == own.incarnation;
  if (!is_own_run || !HaveOneAddress(own, heard)) {
    this->AddConflict(own.node, DescribeTwo(own, heard));
    return MergeResult::kConflict;
  }
  if (heard.version > own.version) this->RaiseSelfAbove(heard.version, now);
  return MergeResult::kStale;
}

MergeResult View::Insert(const Member& heard, SteadyTime now) {
  auto state = std::make_unique<MemberState>();
  state->member = heard;
  state->name_hash = HashName(heard.node);
  state->mark = MarkFrom(state->name_hash, heard);
  state->reachability_since = now;
  state->changed_at = now;
  MemberState& kept = *state;
  this->members.emplace(kept.member.node, std::move(state));
  this->AddToIndexes(kept);
  this->ApplyReachability(kept, now);
  this->Notify(ViewChange::kEntry, kept);
  return MergeResult::kNew;
}

void View::Replace(MemberState& state, const Member& entry, SteadyTime now) {
  this->RemoveFromIndexes(state);
  Member next = entry;
  // The map's key refers to the characters of this string.
  next.node = std::move(state.member.node);
  state.member = std::move(next);
  state.mark = MarkFrom(state.name_hash, state.member);
  state.forgotten = false;
  state.changed_at = now;
  // A newer entry shows that the member was alive after any accusation of an older one.
  state.own_reachability = Reachability::kReachable;
  this->AddToIndexes(state);
  this->ApplyReachability(state, now);
  this->Notify(ViewChange::kEntry, state);
}

void View::UpdateSelf(const std::function<void(Member&)>& change, SteadyTime now) {
  const Member own = this->Self();
  Member next = own;
  change(next);
  next.node = own.node;
  next.incarnation = own.incarnation;
  next.version = own.version + 1;
  this->Replace(*this->self, next, now);
}

void View::RaiseSelfAbove(std::uint64_t version, SteadyTime now) {
  Member next = this->Self();
  if (version < next.version) return;
  next.version = version + 1;
  this->Replace(*this->self, next, now);
}

const MemberState* View::Find(std::string_view node) const {
  const auto found = this->members.find(node);
  return found == this->members.end() ? nullptr : found->second.get();
}

std::vector<std::string> View::Zones() const {
  std::vector<std::string> names;
  names.reserve(this->zones.size());
  for (const auto& [name, zone] : this->zones) names.push_back(name);
  return names;
}

const View::StatePointers& View::MembersOf(const std::string& zone) const {
  static const StatePointers none;
  const auto found = this->zones.find(zone);
  return found == this->zones.end() ? none : found->second.members;
}

View::StatePointers View::MembersServing(std::string_view service) const {
  const auto found = this->services.find(std::string(service));
  if (found == this->services.end()) return {};
  StatePointers serving;
  std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(serving),
               [](const MemberState* state) { return state->IsReachable(); });
  return serving;
}

View::StatePointers View::Candidates(std::string_view service) const {
  StatePointers candidates = this->MembersServing(service);
  std::erase_if(candidates, [](const MemberState* state) {
    return state->member.target_state != TargetState::kServing;
  });
  return candidates;
}

std::size_t View::CountPresent(const std::string& zone) const {
  const auto found = this->zones.find(zone);
  return found == this->zones.end() ? 0 : found->second.present;
}

std::size_t View::CountPresent() const {
  std::size_t count = 0;
  for (const auto& [name, zone] : this->zones) count += zone.present;
  return count;
}

std::uint64_t View::DigestOf(const std::string& zone) const {
  const auto found = this->zones.find(zone);
  return found == this->zones.end() ? 0 : found->second.digest;
}

std::uint64_t View::MarkOf(const Member& member) { return MarkFrom(HashName(member.node), member); }

std::vector<std::uint64_t> View::MarksIn(const std::string& zone) const {
  std::vector<std::uint64_t> marks;
  for (const MemberState* state : this->MembersOf(zone)) {
    if (state->IsPresent()) marks.push_back(state->mark);
  }
  return marks;
}

View::StatePointers View::MissingFrom(const std::string& zone,
                                      const std::vector<std::uint64_t>& marks) const {
  const std::unordered_set<std::uint64_t> known(marks.begin(), marks.end());
  StatePointers missing;
  for (const MemberState* state : this->MembersOf(zone)) {
    if (state->IsPresent() && !known.contains(state->mark)) missing.push_back(state);
  }
  return missing;
}

std::vector<std::uint64_t> View::UnknownMarks(const std::string& zone,
                                              const std::vector<std::uint64_t>& marks) const {
  std::unordered_set<std::uint64_t> known;
  for (const MemberState* state : this->MembersOf(zone)) known.insert(state->mark);
  std::vector<std::uint64_t> unknown;
  std::copy_if(marks.begin(), marks.end(), std::back_inserter(unknown),
               [&known](std::uint64_t mark) { return !known.contains(mark); });
  return unknown;
}

View::StatePointers View::FindMarks(const std::string& zone,
                                    const std::vector<std::uint64_t>& marks) const {
  const std::unordered_set<std::uint64_t> wanted(marks.begin(), marks.end());
  StatePointers found;
  for (const MemberState* state : this->MembersOf(zone)) {
    if (!state->forgotten && wanted.contains(state->mark)) found.push_back(state);
  }
  return found;
}

void View::SetReachability(std::string_view node, Reachability reachability, SteadyTime now) {
  const auto found = this->members.find(node);
  if (found == this->members.end() || found->second.get() == this->self) return;
  MemberState& state = *found->second;
  state.own_reachability = reachability;
  this->ApplyReachability(state, now);
}

void View::SetZoneCut(const std::string& zone, bool cut, SteadyTime now) {
  const auto found = this->zones.find(zone);
  if (found == this->zones.end() || zone == this->Self().zone || found->second.cut == cut) return;
  found->second.cut = cut;
  for (const MemberState* state : StatePointers(found->second.members)) {
    this->ApplyReachability(*this->members.at(state->member.node), now);
  }
}

bool View::IsZoneCut(const std::string& zone) const {
  const auto found = this->zones.find(zone);
  return found != this->zones.end() && found->second.cut;
}

void View::ApplyReachability(MemberState& state, SteadyTime now) {
  const bool cut = this->IsZoneCut(state.member.zone);
  const Reachability next = cut ? Reachability::kUnreachable : state.own_reachability;
  if (next == state.reachability) return;
  state.reachability = next;
  state.reachability_since = now;
  this->Notify(ViewChange::kReachability, state);
}

void View::Forget(SteadyTime now) {
  std::vector<MemberState*> expired;
  for (const auto& [node, state] : this->members) {
    if (state.get() == this->self) continue;
    if (state->IsPresent()) {
      this->ForgetUnreachable(*state, now);
    } else if (now - state->changed_at >= kTombstoneTime) {
      expired.push_back(state.get());
    }
  }
  for (MemberState* state : expired) {
    if (!state->forgotten) this->Notify(ViewChange::kRemoved, *state);
    this->RemoveFromIndexes(*state);
    this->members.erase(this->members.find(state->member.node));
  }
}

void View::ForgetUnreachable(MemberState& state, SteadyTime now) {
  if (state.reachability != Reachability::kUnreachable) return;
  if (now - state.reachability_since < kUnreachableTime) return;
  this->RemoveFromIndexes(state);
  state.forgotten = true;
  state.changed_at = now;
  this->AddToIndexes(state);
  this->Notify(ViewChange::kRemoved, state);
}

void View::AddToIndexes(MemberState& state) {
  Zone& zone = this->zones[state.member.zone];
  zone.members.push_back(&state);
  if (!state.IsPresent()) return;
  zone.digest ^= state.mark;
  ++zone.present;
  if (!state.member.service.empty()) this->services[state.member.service].push_back(&state);
}

void View::RemoveFromIndexes(const MemberState& state) {
  const auto found = this->zones.find(state.member.zone);
  Zone& zone = found->second;
  std::erase(zone.members, &state);
  if (state.IsPresent()) {
    zone.digest ^= state.mark;
    --zone.present;
    const auto serving = this->services.find(state.member.service);
    if (serving != this->services.end()) {
      std::erase(serving->second, &state);
      if (serving->second.empty()) this->services.erase(serving);
    }
  }
  // A cut zone stays known, so that a member heard of meanwhile is not taken for reachable.
  if (zone.members.empty() && !zone.cut) this->zones.erase(found);
}

void View::AddConflict(const std::string& node, const std::string& message) {
  const auto same = [&](const Finding& finding) {
    return finding.place == node && finding.message == message;
  };
  if (this->conflicts.size() >= kMaxConflicts) return;
  if (std::any_of(this->conflicts.begin(), this->conflicts.end(), same)) return;
  this->conflicts.push_back(Finding{node, message});
}

std::size_t View::Subscribe(Hook hook) {
  const std::size_t id = this->next_hook++;
  this->hooks.emplace(id, std::move(hook));
  return id;
}

void View::Unsubscribe(std::size_t id) { this->hooks.erase(id); }

void View::Notify(ViewChange change, const MemberState& state) {
  std::vector<std::size_t> ids;
  ids.reserve(this->hooks.size());
  for (const auto& [id, hook] : this->hooks) ids.push_back(id);
  for (const std::size_t id : ids) {
    const auto found = this->hooks.find(id);
    if (found == this->hooks.end()) continue;
    const Hook hook = found->second;
    hook(change, state);
  }
}

}  // namespace fireflyrun::membership
