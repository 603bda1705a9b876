#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::records {

/// What a book did with a change set.
enum class ChangeResult {
  kApplied,
  kStale,  ///< The book already holds it.
  kGap,    ///< The book lacks a change before it: a transfer is needed.
};

inline constexpr EnumNames kChangeResultNames(std::array{
    std::pair{ChangeResult::kApplied, std::string_view("applied")},
    std::pair{ChangeResult::kStale, std::string_view("stale")},
    std::pair{ChangeResult::kGap, std::string_view("gap")},
});

}  // namespace fireflyrun::records
