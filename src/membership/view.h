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

/// All members known to this node. Does no I/O; the caller passes the current time.
///
/// Of two entries of a node the one with the higher (generation, incarnation, version) is kept, so
/// the order of arrival does not matter and an older entry never replaces a newer one.
class View {
 public:
  using Hook = std::function<void(ViewChange, const MemberState&)>;
  using StatePointers = std::vector<const MemberState*>;

  /// How long the entry of a stopped or removed member is kept, to reject late copies of it.
  static constexpr Duration kTombstoneLifetime = std::chrono::hours(1);
  /// How long a member may be unreachable before it is removed.
  static constexpr Duration kMaxUnreachableTime = std::chrono::hours(24);
  static constexpr std::size_t kMaxConflicts = 64;
  /// Other runs of this node, current by their entries, that are taken for ended ones. Two nodes
  /// that share a name and an address would outrank each other without end.
  static constexpr std::size_t kMaxOutrankedRuns = 8;

  View(Member own_entry, SteadyTime now);
  ~View() = default;
  View(const View&) = delete;
  View& operator=(const View&) = delete;

  /// Merges an entry received from any node. A received entry of this node itself is never adopted:
  /// one with this incarnation and a higher version makes this node raise its version above it, one
  /// of another run at this node's address its generation; one from another address that isn't
  /// older is a conflict.
  MergeResult Merge(const Member& received, SteadyTime now);

  const Member& Self() const { return this->self->member; }
  /// Changes this node's own entry and raises its version.
  void UpdateSelf(const std::function<void(Member&)>& change, SteadyTime now);
  /// Raises this node's version above `version`, to refute an accusation.
  void RaiseSelfAbove(std::uint64_t version, SteadyTime now);

  /// Returns null if the node is unknown. The pointer is valid until the next RemoveExpired().
  const MemberState* Find(std::string_view node) const;
  /// The names of all zones that have a member or are cut off, sorted.
  std::vector<std::string> Zones() const;
  /// Members of a zone, tombstones included; use MemberState::IsPresent.
  const StatePointers& MembersOf(const std::string& zone) const;
  /// Members that announce `service` and are neither stopped, removed nor unreachable, in any
  /// target state.
  StatePointers MembersServing(std::string_view service) const;
  /// The members of MembersServing() whose target state is kServing.
  StatePointers Candidates(std::string_view service) const;
  std::size_t CountPresent(const std::string& zone) const;
  std::size_t CountPresent() const;

  /// XOR of the fingerprints of the zone's present members; 0 for an unknown zone.
  std::uint64_t DigestOf(const std::string& zone) const;
  /// A 64-bit hash of (node, generation, incarnation, version).
  static std::uint64_t FingerprintOf(const Member& member);
  /// The fingerprints of the zone's present members.
  std::vector<std::uint64_t> FingerprintsIn(const std::string& zone) const;
  /// Present members of the zone whose fingerprint is not in `fingerprints`.
  StatePointers MissingFrom(const std::string& zone,
                            const std::vector<std::uint64_t>& fingerprints) const;
  /// The elements of `fingerprints` that match no entry of the zone, tombstones included.
  std::vector<std::uint64_t> UnknownFingerprints(
      const std::string& zone, const std::vector<std::uint64_t>& fingerprints) const;
  StatePointers FindByFingerprint(const std::string& zone,
                                  const std::vector<std::uint64_t>& fingerprints) const;

  /// Sets the individual state of a member; unknown nodes and this node itself are ignored.
  void SetReachability(std::string_view node, Reachability reachability, SteadyTime now);
  /// Sets whether a whole zone is cut off; this node's own zone is ignored.
  void SetZoneCut(const std::string& zone, bool cut, SteadyTime now);
  bool IsZoneCut(const std::string& zone) const;

  /// Removes expired tombstones and members unreachable for kMaxUnreachableTime. Call every few
  /// seconds.
  void RemoveExpired(SteadyTime now);

  /// Node names in use by two nodes, and conflicts added with AddConflict().
  const Findings& Conflicts() const { return this->conflicts; }
  void AddConflict(const std::string& node, const std::string& message);

  /// Calls `hook` after each change; it must not modify the view. Returns an id for Unsubscribe().
  std::size_t Subscribe(Hook hook);
  void Unsubscribe(std::size_t id);

 private:
  struct Zone {
    std::uint64_t digest = 0;
    std::size_t present = 0;
    bool cut = false;
    StatePointers members;
  };

  MergeResult MergeSelf(const Member& received, SteadyTime now);
  void RaiseSelfAboveRun(const Member& ended, SteadyTime now);
  MergeResult Insert(const Member& received, SteadyTime now);
  void Replace(MemberState& state, const Member& entry, SteadyTime now);
  void AddToIndexes(MemberState& state);
  void RemoveFromIndexes(const MemberState& state);
  void ApplyReachability(MemberState& state, SteadyTime now);
  void RemoveLongUnreachable(MemberState& state, SteadyTime now);
  void Notify(ViewChange change, const MemberState& state);

  std::unordered_map<std::string_view, std::unique_ptr<MemberState>> members;
  std::map<std::string, Zone> zones;
  std::unordered_map<std::string, StatePointers> services;
  MemberState* self = nullptr;
  std::size_t outranked_runs = 0;
  Findings conflicts;
  std::map<std::size_t, Hook> hooks;
  std::size_t next_hook = 0;
};

}  // namespace fireflyrun::membership
