#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun {

/// Which records are left out first when there are too many, last value first.
enum class LogUrgency {
  kState,    ///< What the process is or believes.
  kFailure,  ///< Tells the end of a request that failed.
  kAttempt,  ///< Tells an attempt that failed; the request may have gone well all the same.
  kSuccess,  ///< Explains a request that went well, or a step on its way.
};

inline constexpr EnumNames kLogUrgencyNames(std::array{
    std::pair{LogUrgency::kState, std::string_view("state")},
    std::pair{LogUrgency::kFailure, std::string_view("failure")},
    std::pair{LogUrgency::kAttempt, std::string_view("attempt")},
    std::pair{LogUrgency::kSuccess, std::string_view("success")},
});

inline constexpr std::size_t kLogUrgencies = 4;

}  // namespace fireflyrun
