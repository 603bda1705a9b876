#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "common/clock.h"
#include "policy/fleet_retry_bound.h"

namespace fireflyrun::policy {

/// One node's share of the fleet's retry budget for one service. The retries that it spends in any
/// window are bounded by the successes that it observed in the window before the last spend; older
/// ones don't count.
///
/// The sum over all nodes stays within the bound without any communication: each node's last spend
/// in a window of the fleet is covered by successes of that window and of the one before, and half
/// of the ratio is assigned to each of the two.
class WindowedRetryBudget {
 public:
  explicit WindowedRetryBudget(const FleetRetryBound& fleet_bound);

  void OnSuccess(SteadyTime now);
  /// Spends one retry; false if less than one is available. `has_free_retry`: see
  /// FreeRetryEligibility.
  bool TrySpend(bool has_free_retry, SteadyTime now);
  /// Retries available; never below 0.
  double Available(bool has_free_retry, SteadyTime now);

 private:
  struct Slice {
    SteadyTime begin;
    std::uint64_t successes = 0;
  };

  void Expire(SteadyTime now);

  FleetRetryBound bound;
  std::deque<Slice> slices;  ///< Oldest first.
  std::uint64_t successes = 0;
  std::deque<SteadyTime> spent;
};

}  // namespace fireflyrun::policy
