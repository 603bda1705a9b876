#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::policy {

/// Distance of a target from the choosing node.
enum class TargetTier {
  kZone,    ///< The same zone.
  kRegion,  ///< Another zone of the same region.
  kBeyond,  ///< Another region.
};

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
