#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "common/clock.h"

namespace fireflyrun::policy {

/// Bound on the retries of all nodes together: in any period of length `window`, a service receives
/// at most `ratio` x its requests + `extra` repeats (requests that are the result of a retry).
struct FleetRetryBound {
  /// Of a series of consecutive windows, any window of the same length overlaps at most two.
  static constexpr double kWindowsOverlapped = 2;
  /// Share of the free retries reserved for holders that other holders don't know of.
  static constexpr double kMarginShare = 1.0 / 3;

  Duration window = Duration::zero();  ///< Zero: no bound.
  double ratio = 0;                    ///< 0 to 1.
  double extra = 0;                    ///< At least 0.
  /// Levels of the call graph that share `ratio` and `extra`: retrying a call repeats all calls
  /// below it, so a service also receives the repeats caused at the levels above it. At least 1.
  int levels = 1;

  bool IsSet() const { return this->window > Duration::zero(); }

  /// Retries that a node earns per success at one level.
  double RetriesPerSuccess() const { return this->ratio / this->levels / kWindowsOverlapped; }

  /// Retries of all nodes at one level that need no success; a whole number.
  std::size_t FreeRetries() const {
    return static_cast<std::size_t>(std::floor(std::max(0.0, this->extra / this->levels)));
  }

  /// Number of members, as one node knows them, that hold one free retry each.
  std::size_t FreeRetryHolders() const { return this->FreeRetries() - this->HolderMargin(); }

  /// Number of holders that another holder may not know of without `extra` being exceeded.
  std::size_t HolderMargin() const {
    return static_cast<std::size_t>(
        std::ceil(static_cast<double>(this->FreeRetries()) * kMarginShare));
  }
};

}  // namespace fireflyrun::policy
