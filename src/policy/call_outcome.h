#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::policy {

/// How a call to a target node ended, for the assessment of that target.
enum class CallOutcome {
  kSucceeded,
  kRefused,  ///< The node refused it because of load; this is not a fault.
  kFailed,   ///< The target failed it or the exchange broke.
  kTimedOut,
  kLinkLost,
  kCancelled,  ///< The caller disconnected; says nothing about the target.
};

inline constexpr EnumNames kCallOutcomeNames(std::array{
    std::pair{CallOutcome::kSucceeded, std::string_view("succeeded")},
    std::pair{CallOutcome::kRefused, std::string_view("refused")},
    std::pair{CallOutcome::kFailed, std::string_view("failed")},
    std::pair{CallOutcome::kTimedOut, std::string_view("timed-out")},
    std::pair{CallOutcome::kLinkLost, std::string_view("link-lost")},
    std::pair{CallOutcome::kCancelled, std::string_view("cancelled")},
});

}  // namespace fireflyrun::policy
