#pragma once

#include <cstdint>

namespace fireflyrun::metrics {

/// Identifies the series of one class and tenant within one CallMetrics.
struct SeriesId {
  std::uint32_t index = 0;
};

}  // namespace fireflyrun::metrics
