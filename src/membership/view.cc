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

auto VersionOf(const Member& member) {
  return std::tuple(member.generation, member.incarnation, member.version);
}

bool HaveSameAddress(const Member& left, const Member& right) {
  return left.ip == right.ip && left.control_port == right.control_port;
}

std::string DescribeNameConflict(const Member& held, const Member& received) {
  return "two nodes use this name: one at " + ControlAddressOf(held) + ", one at " +
         ControlAddressOf(received) + "; each node needs a name of its own";
}

std::uint64_t ComputeFingerprint(std::uint64_t name_hash, const Member& member) {
  const auto mixed = MixBits(MixBits(name_hash + member.incarnation) + member.version);
  return member.generation == 0 ? mixed : MixBits(mixed + member.generation);
}

}  // namespace

View::View(Member own_entry, SteadyTime now) {
  this->Insert(own_entry, now);
  this->self = this->members.begin()->second.get();
}

MergeResult View::Merge(const Member& received, SteadyTime now) {
  if (received.node == this->Self().node) return this->MergeSelf(received, now);
  const auto found = this->members.find(received.node);
  if (found == this->members.end()) return this->Insert(received, now);

  MemberState& state = *found->second;
  const Member& held = state.member;
  const bool same_incarnation = received.incarnation == held.incarnation;
  if (same_incarnation && !HaveSameAddress(held, received)) {
    this->AddConflict(received.node, DescribeNameConflict(held, received));
    // Every node keeps the same one of the two, whichever it receives first.
    const auto order = [](const Member& member) {
      return std::tuple(member.version, ControlAddressOf(member));
    };
    if (order(received) > order(held)) this->Replace(state, received, now);
    return MergeResult::kConflict;
  }
  if (VersionOf(received) <= VersionOf(held)) return MergeResult::kStale;
  this->Replace(state, received, now);
  return MergeResult::kNewer;
}

MergeResult View::MergeSelf(const Member& received, SteadyTime now) {
  const Member& own = this->Self();
  const auto run_of = [](const Member& member) {
    return std::tuple(member.generation, member.incarnation);
  };
  if (run_of(received) < run_of(own)) return MergeResult::kStale;
  if (!HaveSameAddress(own, received)) {
    this->AddConflict(own.node, DescribeNameConflict(own, received));
    return MergeResult::kConflict;
  }
  if (received.incarnation != own.incarnation) {
    if (++this->outranked_runs > kMaxOutrankedRuns) {
      this->AddConflict(own.node, "several nodes use this name and the address " +
                                      ControlAddressOf(own) + "; each node needs its own");
      return MergeResult::kConflict;
    }
    this->RaiseSelfAboveRun(received, now);
  } else if (received.version > own.version) {
    this->RaiseSelfAbove(received.version, now);
  }
  return MergeResult::kStale;
}

/// This process holds the address, so the other run has ended, however its incarnation compares.
void View::RaiseSelfAboveRun(const Member& ended, SteadyTime now) {
  Member next = this->Self();
  next.generation = ended.generation + (ended.incarnation > next.incarnation ? 1 : 0);
  next.version += 1;
  this->Replace(*this->self, next, now);
}

MergeResult View::Insert(const Member& received, SteadyTime now) {
  auto state = std::make_unique<MemberState>();
  state->member = received;
  state->name_hash = HashName(received.node);
  state->fingerprint = ComputeFingerprint(state->name_hash, received);
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
  // The map's key is a view of this string.
  next.node = std::move(state.member.node);
  state.member = std::move(next);
  state.fingerprint = ComputeFingerprint(state.name_hash, state.member);
  state.removed = false;
  state.changed_at = now;
  // A newer entry shows that the member was alive after any accusation of an older entry.
  state.individual_reachability = Reachability::kReachable;
  this->AddToIndexes(state);
  this->ApplyReachability(state, now);
  this->Notify(ViewChange::kEntry, state);
}

void View::UpdateSelf(const std::function<void(Member&)>& change, SteadyTime now) {
  const Member own = this->Self();
  Member next = own;
  change(next);
  next.node = own.node;
  next.generation = own.generation;
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

std::uint64_t View::FingerprintOf(const Member& member) {
  return ComputeFingerprint(HashName(member.node), member);
}

std::vector<std::uint64_t> View::FingerprintsIn(const std::string& zone) const {
  std::vector<std::uint64_t> fingerprints;
  for (const MemberState* state : this->MembersOf(zone)) {
    if (state->IsPresent()) fingerprints.push_back(state->fingerprint);
  }
  return fingerprints;
}

View::StatePointers View::MissingFrom(const std::string& zone,
                                      const std::vector<std::uint64_t>& fingerprints) const {
  const std::unordered_set<std::uint64_t> known(fingerprints.begin(), fingerprints.end());
  StatePointers missing;
  for (const MemberState* state : this->MembersOf(zone)) {
    if (state->IsPresent() && !known.contains(state->fingerprint)) missing.push_back(state);
  }
  return missing;
}

std::vector<std::uint64_t> View::UnknownFingerprints(
    const std::string& zone, const std::vector<std::uint64_t>& fingerprints) const {
  std::unordered_set<std::uint64_t> known;
  for (const MemberState* state : this->MembersOf(zone)) known.insert(state->fingerprint);
  std::vector<std::uint64_t> unknown;
  std::copy_if(fingerprints.begin(), fingerprints.end(), std::back_inserter(unknown),
               [&known](std::uint64_t fingerprint) { return !known.contains(fingerprint); });
  return unknown;
}

View::StatePointers View::FindByFingerprint(const std::string& zone,
                                            const std::vector<std::uint64_t>& fingerprints) const {
  const std::unordered_set<std::uint64_t> requested(fingerprints.begin(), fingerprints.end());
  StatePointers found;
  for (const MemberState* state : this->MembersOf(zone)) {
    if (!state->removed && requested.contains(state->fingerprint)) found.push_back(state);
  }
  return found;
}

void View::SetReachability(std::string_view node, Reachability reachability, SteadyTime now) {
  const auto found = this->members.find(node);
  if (found == this->members.end() || found->second.get() == this->self) return;
  MemberState& state = *found->second;
  state.individual_reachability = reachability;
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
  const Reachability next = cut ? Reachability::kUnreachable : state.individual_reachability;
  if (next == state.reachability) return;
  state.reachability = next;
  state.reachability_since = now;
  this->Notify(ViewChange::kReachability, state);
}

void View::RemoveExpired(SteadyTime now) {
  std::vector<MemberState*> expired;
  for (const auto& [node, state] : this->members) {
    if (state.get() == this->self) continue;
    if (state->IsPresent()) {
      this->RemoveLongUnreachable(*state, now);
    } else if (now - state->changed_at >= kTombstoneLifetime) {
      expired.push_back(state.get());
    }
  }
  for (MemberState* state : expired) {
    if (!state->removed) this->Notify(ViewChange::kRemoved, *state);
    this->RemoveFromIndexes(*state);
    this->members.erase(this->members.find(state->member.node));
  }
}

void View::RemoveLongUnreachable(MemberState& state, SteadyTime now) {
  if (state.reachability != Reachability::kUnreachable) return;
  if (now - state.reachability_since < kMaxUnreachableTime) return;
  this->RemoveFromIndexes(state);
  state.removed = true;
  state.changed_at = now;
  this->AddToIndexes(state);
  this->Notify(ViewChange::kRemoved, state);
}

void View::AddToIndexes(MemberState& state) {
  Zone& zone = this->zones[state.member.zone];
  zone.members.push_back(&state);
  if (!state.IsPresent()) return;
  zone.digest ^= state.fingerprint;
  ++zone.present;
  if (!state.member.service.empty()) this->services[state.member.service].push_back(&state);
}

void View::RemoveFromIndexes(const MemberState& state) {
  const auto found = this->zones.find(state.member.zone);
  Zone& zone = found->second;
  std::erase(zone.members, &state);
  if (state.IsPresent()) {
    zone.digest ^= state.fingerprint;
    --zone.present;
    const auto serving = this->services.find(state.member.service);
    if (serving != this->services.end()) {
      std::erase(serving->second, &state);
      if (serving->second.empty()) this->services.erase(serving);
    }
  }
  // A zone that is cut off is kept, so that a member added meanwhile does not count as reachable.
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
