#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::policy {

/// The load on a target during one interval.
enum class AdmissionPressure {
  kIdle,        ///< The concurrency limit was not in use.
  kBusy,        ///< The concurrency limit was in use, without a persistent queue.
  kOverloaded,  ///< A persistent queue takes too long to drain.
};

inline constexpr EnumNames kAdmissionPressureNames(std::array{
    std::pair{AdmissionPressure::kIdle, std::string_view("idle")},
    std::pair{AdmissionPressure::kBusy, std::string_view("busy")},
    std::pair{AdmissionPressure::kOverloaded, std::string_view("overloaded")},
});

}  // namespace fireflyrun::policy
