#pragma once

#include "bench/variants.h"

namespace fireflyrun::bench {

/// Goodput of whole requests at twice the load against saturation, and the work wasted at the deep
/// service; whether all bounds hold.
bool MeasureGoodput(const Variants& variants);

/// Runs at the deep service for one root while the deep service fails; whether the bound holds.
bool MeasureRunsPerRoot(const Variants& variants);

/// Refusals of the first class while the last is admitted, at three times the load with all
/// classes offered; whether the bound holds.
bool MeasureShedOrder(const Variants& variants);

}  // namespace fireflyrun::bench
