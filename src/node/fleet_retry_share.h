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

/// This node's share of what the fleet may repeat without having earned it: follows the view of the
/// members.
class FleetRetryShare {
 public:
  /// `met_fleet`: see policy::FleetSummary::knows_all_members.
  FleetRetryShare(membership::Membership& fleet, const policy::FleetRetryBound& bound,
                  std::function<bool()> met_fleet);
  ~FleetRetryShare();
  FleetRetryShare(const FleetRetryShare&) = delete;
  FleetRetryShare& operator=(const FleetRetryShare&) = delete;

  bool HoldsFreeRetry();

 private:
  policy::FleetSummary Look() const;

  membership::Membership& membership;
  std::function<bool()> met_all;
  policy::FreeRetryEligibility holding;
  std::optional<std::size_t> subscription;
};

}  // namespace fireflyrun::node
