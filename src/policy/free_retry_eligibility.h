#pragma once

#include <optional>

#include "common/clock.h"
#include "policy/fleet_retry_bound.h"
#include "policy/fleet_summary.h"

namespace fireflyrun::policy {

/// Whether this node is one of the few members that hold a free retry for each service: the first
/// `FleetRetryBound::FreeRetryHolders` in an order of all members that is the same on every node.
///
/// A node holds it only after it has been one of these for `kPropagationTime` and a whole window.
/// So all that spend one in the same window were among the first at one moment, the beginning of
/// that window, and had been heard of by the others then, however many members came, went and
/// started anew.
///
/// A node in doubt holds none: one that has not met the fleet, and one that reaches no more than
/// half of the members it knows, as others may have come where it doesn't see them.
class FreeRetryEligibility {
 public:
  /// After this time all have heard of a member that came or can be reached again.
  static constexpr Duration kPropagationTime = std::chrono::seconds(5);

  explicit FreeRetryEligibility(const FleetRetryBound& fleet_bound) : bound(fleet_bound) {}

  /// Call after each change of what the node sees.
  void OnFleetSummary(const FleetSummary& summary, SteadyTime now);
  bool IsEligible(SteadyTime now) const;

 private:
  FleetRetryBound bound;
  std::optional<SteadyTime> among_first_since;
};

}  // namespace fireflyrun::policy
