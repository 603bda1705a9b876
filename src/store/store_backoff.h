#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "common/clock.h"
#include "common/random.h"

namespace fireflyrun::store {

/// The delays between attempts while the store can't be reached, or says "not now". They double,
/// and each is random, so that a fleet that lost the store at one moment doesn't return at one
/// moment.
class StoreBackoff {
 public:
  static constexpr Duration kFirstDelay = std::chrono::milliseconds(250);
  /// So long after the store's return the last node has tried again.
  static constexpr Duration kLongestDelay = std::chrono::seconds(1);

  /// The delay before the next attempt: half to all of a bound that doubles with each call.
  Duration Next() {
    const Duration bound = this->longest;
    this->longest = std::min(2 * this->longest, kLongestDelay);
    const auto half = static_cast<std::uint64_t>(bound.count() / 2);
    return bound / 2 + Duration(RandomBelow(half + 1));
  }

  /// After an attempt that reached the store.
  void Reset() { this->longest = kFirstDelay; }

  /// True while no delay was needed since the last reset.
  bool IsReset() const { return this->longest == kFirstDelay; }

 private:
  Duration longest = kFirstDelay;
};

}  // namespace fireflyrun::store
