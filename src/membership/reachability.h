#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::membership {

/// This node's assessment of another; never published as part of the other node's own entry.
enum class Reachability { kReachable, kSuspect, kUnreachable };

inline constexpr EnumNames kReachabilityNames(std::array{
    std::pair{Reachability::kReachable, std::string_view("reachable")},
    std::pair{Reachability::kSuspect, std::string_view("suspect")},
    std::pair{Reachability::kUnreachable, std::string_view("unreachable")},
});

}  // namespace fireflyrun::membership
