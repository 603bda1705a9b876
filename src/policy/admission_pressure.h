#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::policy {

/// How a target was loaded during one interval.
enum class AdmissionPressure {
  kIdle,        ///< The limit was not in use.
  kBusy,        ///< The limit was in use and no queue stood.
  kOverloaded,  ///< A queue stood that takes too long to drain.
};

inline constexpr EnumNames kAdmissionPressureNames(std::array{
    std::pair{AdmissionPressure::kIdle, std::string_view("idle")},
    std::pair{AdmissionPressure::kBusy, std::string_view("busy")},
    std::pair{AdmissionPressure::kOverloaded, std::string_view("overloaded")},
});

}  // namespace fireflyrun::policy
