#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::membership {

/// The result of View::Merge.
enum class MergeResult {
  kNew,       ///< The view had no entry of the node.
  kNewer,     ///< The entry replaced an older one.
  kStale,     ///< The view already held this entry or a newer one.
  kConflict,  ///< Two nodes appear to use the same name; see View::Conflicts.
};

inline constexpr EnumNames kMergeResultNames(std::array{
    std::pair{MergeResult::kNew, std::string_view("new")},
    std::pair{MergeResult::kNewer, std::string_view("newer")},
    std::pair{MergeResult::kStale, std::string_view("stale")},
    std::pair{MergeResult::kConflict, std::string_view("conflict")},
});

}  // namespace fireflyrun::membership
