#pragma once

#include <string>

#include "bench/variants.h"

namespace fireflyrun::bench {

/// Measures the time until goodput is back to 0.95 of its earlier value, after the deep service was
/// slow, after the demand was four times as high, and after both; returns whether all bounds hold.
/// `only` selects one trigger: `slow_deep`, `demand_x4` or `both`; empty runs all.
bool MeasureRecovery(const Variants& variants, int trigger_seconds, const std::string& only = "");

}  // namespace fireflyrun::bench
