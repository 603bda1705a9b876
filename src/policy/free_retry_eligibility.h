#pragma once

#include <optional>

#include "common/clock.h"
#include "policy/fleet_retry_bound.h"
#include "policy/fleet_summary.h"

namespace fireflyrun::policy {

/// Whether this node is one of the few members that hold a free retry for each service: the first
/// `FleetRetryBound::FreeRetryHolders` in an order of all members that is the same on every node.
///
/// A node becomes eligible only after it has been among these for `kPropagationTime` plus a whole
/// window. So all nodes that spend a free retry in the same window were among the first at the
/// beginning of that window and were known to each other by then, however many members joined, left
/// or restarted.
///
/// A node with an incomplete view is not eligible: one that has not discovered the whole fleet, and
/// one that reaches at most half of the members it knows, since others may have joined on the other
/// side of a network partition.
class FreeRetryEligibility {
 public:
  /// Time within which all members learn of one that joined or became reachable again.
  static constexpr Duration kPropagationTime = std::chrono::seconds(5);

  explicit FreeRetryEligibility(const FleetRetryBound& fleet_bound) : bound(fleet_bound) {}

  /// Must be called after each change of the summary.
  void OnFleetSummary(const FleetSummary& summary, SteadyTime now);
  bool IsEligible(SteadyTime now) const;

 private:
  FleetRetryBound bound;
  std::optional<SteadyTime> among_holders_since;
};

}  // namespace fireflyrun::policy
