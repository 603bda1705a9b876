#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "common/clock.h"

namespace fireflyrun::policy {

/// What all nodes together may do: in any time of `window`, a service gets at most `ratio` x its
/// requests + `extra` repeats.
struct FleetRetryBound {
  /// Two windows overlap any third of the same length.
  static constexpr double kWindowsOverlapped = 2;
  /// So much of the extra is kept back for holders whom another holder doesn't know.
  static constexpr double kMarginShare = 1.0 / 3;

  Duration window = Duration::zero();  ///< Zero: the fleet has no bound.
  double ratio = 0;                    ///< 0 to 1.
  double extra = 0;                    ///< At least 0.
  /// Levels of calls that share ratio and extra: a repeat of a call repeats all calls below it, so
  /// a service also gets the repeats of the levels above it. At least 1.
  int levels = 1;

  bool IsSet() const { return this->window > Duration::zero(); }

  /// Repeats that a node earns by one success at one level.
  double RetriesPerSuccess() const { return this->ratio / this->levels / kWindowsOverlapped; }

  /// Whole repeats at one level that need no success, of all nodes.
  std::size_t FreeRetries() const {
    return static_cast<std::size_t>(std::floor(std::max(0.0, this->extra / this->levels)));
  }

  /// Members known to one node that hold one free repeat each.
  std::size_t FreeRetryHolders() const { return this->FreeRetries() - this->HolderMargin(); }

  /// Holders that a holder's view may lack without the extra being passed.
  std::size_t HolderMargin() const {
    return static_cast<std::size_t>(
        std::ceil(static_cast<double>(this->FreeRetries()) * kMarginShare));
  }
};

}  // namespace fireflyrun::policy
