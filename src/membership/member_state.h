#pragma once

#include <cstdint>

#include "common/clock.h"
#include "membership/member.h"
#include "membership/reachability.h"

namespace fireflyrun::membership {

/// A member's own entry and, beside it, what this node believes of the member.
struct MemberState {
  Member member;
  std::uint64_t mark = 0;       ///< View::MarkOf(member).
  std::uint64_t name_hash = 0;  ///< Hash of the node name, for rendezvous ranking.
  /// The belief to act on: unreachable while the member's whole zone is cut off.
  Reachability reachability = Reachability::kReachable;
  /// The belief about this member alone.
  Reachability own_reachability = Reachability::kReachable;
  bool forgotten = false;  ///< Kept only so that the same entry is not taken in again.
  SteadyTime reachability_since;
  SteadyTime changed_at;  ///< When the entry was last replaced.

  /// Neither stopped nor forgotten.
  bool IsPresent() const { return !this->member.stopped && !this->forgotten; }
  bool IsReachable() const {
    return this->IsPresent() && this->reachability != Reachability::kUnreachable;
  }
};

}  // namespace fireflyrun::membership
