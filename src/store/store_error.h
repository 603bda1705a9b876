#pragma once

#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::store {

/// Classifies store failures by whether a write may have taken effect, and whether the same
/// operation may succeed later.
enum class StoreErrorKind {
  kNotSent,    ///< The store was unreachable; nothing took effect.
  kUnknown,    ///< The answer was lost: a write may have taken effect.
  kRejected,   ///< The store refused the operation, and will again; nothing took effect.
  kNotNow,     ///< The store is busy or limits its callers; nothing took effect.
  kCompacted,  ///< A watch requested a revision that the store no longer holds.
};

inline constexpr EnumNames kStoreErrorKindNames(std::array{
    std::pair{StoreErrorKind::kNotSent, std::string_view("not-sent")},
    std::pair{StoreErrorKind::kUnknown, std::string_view("unknown")},
    std::pair{StoreErrorKind::kRejected, std::string_view("rejected")},
    std::pair{StoreErrorKind::kNotNow, std::string_view("not-now")},
    std::pair{StoreErrorKind::kCompacted, std::string_view("compacted")},
});

struct StoreError {
  StoreErrorKind kind = StoreErrorKind::kNotSent;
  std::string message;
};

}  // namespace fireflyrun::store
