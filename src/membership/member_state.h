#pragma once

#include <cstdint>

#include "common/clock.h"
#include "membership/member.h"
#include "membership/reachability.h"

namespace fireflyrun::membership {

/// A member's published entry and this node's assessment of the member.
struct MemberState {
  Member member;
  std::uint64_t fingerprint = 0;  ///< View::FingerprintOf(member).
  std::uint64_t name_hash = 0;    ///< Hash of the node name, for rendezvous ranking.
  /// The effective state: unreachable while the member's whole zone is cut off.
  Reachability reachability = Reachability::kReachable;
  /// The state of this member alone, regardless of its zone.
  Reachability individual_reachability = Reachability::kReachable;
  bool removed = false;  ///< Expired; the entry is kept only to reject late copies of it.
  SteadyTime reachability_since;
  SteadyTime changed_at;  ///< When the entry was last replaced.

  /// True if neither stopped nor removed.
  bool IsPresent() const { return !this->member.stopped && !this->removed; }
  bool IsReachable() const {
    return this->IsPresent() && this->reachability != Reachability::kUnreachable;
  }
};

}  // namespace fireflyrun::membership
