#pragma once

#include <cstddef>
#include <functional>
#include <optional>

#include "common/clock.h"
#include "policy/fleet_retry_bound.h"
#include "policy/fleet_summary.h"
#include "policy/free_retry_eligibility.h"

namespace fireflyrun::membership {
class Membership;
}

namespace fireflyrun::node {

/// This node's share of the retries that the fleet may make beyond the ratio. Follows the
/// membership view.
class FleetRetryShare {
 public:
  /// `has_discovered_all_members`: see policy::FleetSummary::discovered_all_members.
  FleetRetryShare(membership::Membership& fleet, const policy::FleetRetryBound& bound,
                  std::function<bool()> has_discovered_all_members);
  ~FleetRetryShare();
  FleetRetryShare(const FleetRetryShare&) = delete;
  FleetRetryShare& operator=(const FleetRetryShare&) = delete;

  bool HoldsFreeRetry();

 private:
  policy::FleetSummary SummarizeFleet() const;

  membership::Membership& membership;
  std::function<bool()> discovered_all_members;
  policy::FreeRetryEligibility eligibility;
  std::optional<std::size_t> subscription;
};

}  // namespace fireflyrun::node
