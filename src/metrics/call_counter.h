#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::metrics {

/// Counters kept for each class and tenant. Refusals are counted separately, by reason.
enum class CallCounter { kAdmitted, kRetries, kMoves, kFailures };

/// Metric names of the counters.
inline constexpr EnumNames kCallCounterNames(std::array{
    std::pair{CallCounter::kAdmitted, std::string_view("fireflyrun_calls_admitted_total")},
    std::pair{CallCounter::kRetries, std::string_view("fireflyrun_call_retries_total")},
    std::pair{CallCounter::kMoves, std::string_view("fireflyrun_call_moves_total")},
    std::pair{CallCounter::kFailures, std::string_view("fireflyrun_call_failures_total")},
});

}  // namespace fireflyrun::metrics
