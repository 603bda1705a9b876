#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "common/clock.h"

namespace fireflyrun::policy {

class TargetLoad;

struct TargetChooserHooks {
  /// A uniform integer in [0, bound).
  std::function<std::uint64_t(std::uint64_t bound)> random_below;
  /// Takes bytes from the inter-region byte budget; false if it refuses them.
  std::function<bool(std::uint64_t bytes, SteadyTime now)> take_link_bytes;
  /// A target was ejected, or its ejection ended. May be empty.
  std::function<void(std::string_view node, const TargetLoad& load)> on_ejection = {};
};

}  // namespace fireflyrun::policy
