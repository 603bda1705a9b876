#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "common/clock.h"
#include "policy/fleet_retry_bound.h"

namespace fireflyrun::policy {

/// One node's part of what the fleet may repeat at one service. What it spends in any window is
/// bound to what it saw succeed in the window before the last spend; nothing older counts.
///
/// The sum over all nodes stays within the bound, without a word between them: each node's last
/// spend in a window of the fleet is paid by successes of that window and of the one before it, and
/// half of the ratio goes to each of the two.
class WindowedRetryBudget {
 public:
  explicit WindowedRetryBudget(const FleetRetryBound& fleet_bound);

  void OnSuccess(SteadyTime now);
  /// Spends one retry; false if less than one is left. `has_free_retry`: see FreeRetryEligibility.
  bool TrySpend(bool has_free_retry, SteadyTime now);
  /// Retries left; never below 0.
  double Available(bool has_free_retry, SteadyTime now);

 private:
  struct Slice {
    SteadyTime begin;
    std::uint64_t successes = 0;
  };

  void Forget(SteadyTime now);

  FleetRetryBound bound;
  std::deque<Slice> slices;  ///< Oldest first.
  std::uint64_t successes = 0;
  std::deque<SteadyTime> spent;
};

}  // namespace fireflyrun::policy
