#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/finding.h"
#include "membership/member_state.h"
#include "membership/merge_result.h"
#include "membership/view_change.h"

namespace fireflyrun::membership {

/// All members that this node knows. No I/O; time is passed in.
///
/// Of two entries of a node the one with the higher (incarnation, version) stands, so the order in
/// which entries arrive does not matter and an older entry never returns.
class View {
 public:
  using Hook = std::function<void(ViewChange, const MemberState&)>;
  using StatePointers = std::vector<const MemberState*>;

  /// How long a stopped or forgotten member's entry is kept against late copies.
  static constexpr Duration kTombstoneTime = std::chrono::hours(1);
  /// How long an unreachable member is kept.
  static constexpr Duration kUnreachableTime = std::chrono::hours(24);
  static constexpr std::size_t kMaxConflicts = 64;

  View(Member own_entry, SteadyTime now);
  ~View() = default;
  View(const View&) = delete;
  View& operator=(const View&) = delete;

  /// Takes in an entry heard from anywhere. An entry of this node itself is never adopted: an echo
  /// with this incarnation and a higher version makes this node raise its version above it, a newer
  /// incarnation is a conflict.
  MergeResult Merge(const Member& heard, SteadyTime now);

  const Member& Self() const { return this->self->member; }
  /// Changes this node's own entry and raises its version.
  void UpdateSelf(const std::function<void(Member&)>& change, SteadyTime now);
  /// Raises this node's version above `version`, to refute an accusation.
  void RaiseSelfAbove(std::uint64_t version, SteadyTime now);

  /// Null when the node is unknown. Valid until the next Forget.
  const MemberState* Find(std::string_view node) const;
  /// Zones that have a member, in order of name.
  std::vector<std::string> Zones() const;
  /// Members of a zone, tombstones included; use MemberState::IsPresent.
  const StatePointers& MembersOf(const std::string& zone) const;
  /// Members that announce `service` and are neither stopped, forgotten nor unreachable, in any
  /// target state.
  StatePointers MembersServing(std::string_view service) const;
  /// Of MembersServing those whose target serves.
  StatePointers Candidates(std::string_view service) const;
  std::size_t CountPresent(const std::string& zone) const;
  std::size_t CountPresent() const;

  /// XOR of the marks of the zone's present members; 0 for an unknown zone.
  std::uint64_t DigestOf(const std::string& zone) const;
  /// A 64-bit mix of (node, incarnation, version).
  static std::uint64_t MarkOf(const Member& member);
  /// The marks of the zone's present members.
  std::vector<std::uint64_t> MarksIn(const std::string& zone) const;
  /// Present members of the zone whose mark is not in `marks`.
  StatePointers MissingFrom(const std::string& zone, const std::vector<std::uint64_t>& marks) const;
  /// Those of `marks` that no entry of the zone has, tombstones included.
  std::vector<std::uint64_t> UnknownMarks(const std::string& zone,
                                          const std::vector<std::uint64_t>& marks) const;
  StatePointers FindMarks(const std::string& zone, const std::vector<std::uint64_t>& marks) const;

  /// Sets the belief about one member; unknown nodes and this node itself are ignored.
  void SetReachability(std::string_view node, Reachability reachability, SteadyTime now);
  /// Sets whether a whole zone is cut off; this node's own zone is ignored.
  void SetZoneCut(const std::string& zone, bool cut, SteadyTime now);
  bool IsZoneCut(const std::string& zone) const;

  /// Forgets tombstones and members unreachable for too long. Call every few seconds.
  void Forget(SteadyTime now);

  /// Names used by two nodes.
  const Findings& Conflicts() const { return this->conflicts; }
  void AddConflict(const std::string& node, const std::string& message);

  /// Calls `hook` after each change. Hooks must not change the view. Returns an id for Unsubscribe.
  std::size_t Subscribe(Hook hook);
  void Unsubscribe(std::size_t id);

 private:
  struct Zone {
    std::uint64_t digest = 0;
    std::size_t present = 0;
    bool cut = false;
    StatePointers members;
  };

  MergeResult MergeSelf(const Member& heard, SteadyTime now);
  MergeResult Insert(const Member& heard, SteadyTime now);
  void Replace(MemberState& state, const Member& entry, SteadyTime now);
  void AddToIndexes(MemberState& state);
  void RemoveFromIndexes(const MemberState& state);
  void ApplyReachability(MemberState& state, SteadyTime now);
  void ForgetUnreachable(MemberState& state, SteadyTime now);
  void Notify(ViewChange change, const MemberState& state);

  std::unordered_map<std::string_view, std::unique_ptr<MemberState>> members;
  std::map<std::string, Zone> zones;
  std::unordered_map<std::string, StatePointers> services;
  MemberState* self = nullptr;
  Findings conflicts;
  std::map<std::size_t, Hook> hooks;
  std::size_t next_hook = 0;
};

}  // namespace fireflyrun::membership
