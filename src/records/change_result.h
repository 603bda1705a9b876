#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::records {

/// The result of applying a change set to a record book.
enum class ChangeResult {
  kApplied,
  kStale,  ///< The book already contains it.
  kGap,    ///< An earlier change is missing: the book needs a transfer.
};

inline constexpr EnumNames kChangeResultNames(std::array{
    std::pair{ChangeResult::kApplied, std::string_view("applied")},
    std::pair{ChangeResult::kStale, std::string_view("stale")},
    std::pair{ChangeResult::kGap, std::string_view("gap")},
});

}  // namespace fireflyrun::records
