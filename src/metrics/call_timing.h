#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::metrics {

/// Durations measured for each class.
enum class CallTiming {
  kLatency,  ///< From the receipt of a call to its answer.
  kQueue,    ///< In the admission queue.
  kService,  ///< At the target.
};

/// Metric names of the histograms.
inline constexpr EnumNames kCallTimingNames(std::array{
    std::pair{CallTiming::kLatency, std::string_view("fireflyrun_call_latency_seconds")},
    std::pair{CallTiming::kQueue, std::string_view("fireflyrun_call_queue_seconds")},
    std::pair{CallTiming::kService, std::string_view("fireflyrun_call_service_seconds")},
});

}  // namespace fireflyrun::metrics
