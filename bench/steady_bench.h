#pragma once

#include "bench/variants.h"

namespace fireflyrun::bench {

/// Measures the goodput of whole requests at twice the capacity relative to saturation, and the
/// work wasted at the deep service; returns whether all bounds hold.
bool MeasureGoodput(const Variants& variants);

/// Measures the most runs at the deep service for one root request while that service fails;
/// returns whether the bound holds.
bool MeasureRunsPerRoot(const Variants& variants);

/// Counts calls of the highest class refused while the lowest is admitted, at three times the
/// capacity with all classes offered; returns whether the bound holds.
bool MeasureShedOrder(const Variants& variants);

}  // namespace fireflyrun::bench
