#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun {

/// Which records are left out first when there are too many, last value first.
enum class LogUrgency {
  kState,    ///< What the process is or believes.
  kFailure,  ///< Explains a request that failed.
  kSuccess,  ///< Explains a request that went well, or a step on its way.
};

inline constexpr EnumNames kLogUrgencyNames(std::array{
    std::pair{LogUrgency::kState, std::string_view("state")},
    std::pair{LogUrgency::kFailure, std::string_view("failure")},
    std::pair{LogUrgency::kSuccess, std::string_view("success")},
});

inline constexpr std::size_t kLogUrgencies = 3;

}  // namespace fireflyrun
