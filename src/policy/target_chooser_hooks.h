#pragma once

#include <cstdint>
#include <functional>

#include "common/clock.h"

namespace fireflyrun::policy {

struct TargetChooserHooks {
  /// A uniform integer in [0, bound).
  std::function<std::uint64_t(std::uint64_t bound)> random_below;
  /// Takes bytes from the inter-region budget; false if it does not hold them.
  std::function<bool(std::uint64_t bytes, SteadyTime now)> take_link_bytes;
};

}  // namespace fireflyrun::policy
