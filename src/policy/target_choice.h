#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::policy {

/// How far from the choosing node a target is.
enum class TargetTier { kZone, kRegion, kBeyond };

inline constexpr EnumNames kTargetTierNames(std::array{
    std::pair{TargetTier::kZone, std::string_view("zone")},
    std::pair{TargetTier::kRegion, std::string_view("region")},
    std::pair{TargetTier::kBeyond, std::string_view("beyond")},
});

/// The target chosen for a call.
struct TargetChoice {
  std::string node;
  std::uint64_t incarnation = 0;
  TargetTier tier = TargetTier::kZone;
};

}  // namespace fireflyrun::policy
