#pragma once

#include <string>

#include "bench/variants.h"

namespace fireflyrun::bench {

/// Time until goodput is back to 0.95 of before, after the deep service was slow, after the demand
/// was four times as high, and after both; whether all bounds hold. `only` leaves
/// out the other triggers: `slow_deep`, `demand_x4` or `both`.
bool MeasureRecovery(const Variants& variants, int trigger_seconds, const std::string& only = "");

}  // namespace fireflyrun::bench
