#pragma once

#include "bench/variants.h"

namespace fireflyrun::bench {

/// Time until goodput is back to 0.95 of before, after the deep service was slow, after the demand
/// was four times as high, and after both; whether all bounds hold.
bool MeasureRecovery(const Variants& variants, int trigger_seconds);

}  // namespace fireflyrun::bench
