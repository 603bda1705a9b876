#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/enum_names.h"
#include "records/record_entry.h"
#include "records/record_key.h"

namespace fireflyrun::store {

/// How a write of records ended.
enum class ApplyOutcomeKind {
  kCommitted,        ///< In the store, all records at one revision.
  kNothingToChange,  ///< The store already holds exactly these records.
  kConflict,         ///< Another write came first; nothing of this one took effect.
  kNotApplied,       ///< The store was not reached or refused; nothing took effect.
  kUnknown,          ///< It could not be learned whether the write took effect.
};

inline constexpr EnumNames kApplyOutcomeKindNames(std::array{
    std::pair{ApplyOutcomeKind::kCommitted, std::string_view("committed")},
    std::pair{ApplyOutcomeKind::kNothingToChange, std::string_view("nothing-to-change")},
    std::pair{ApplyOutcomeKind::kConflict, std::string_view("conflict")},
    std::pair{ApplyOutcomeKind::kNotApplied, std::string_view("not-applied")},
    std::pair{ApplyOutcomeKind::kUnknown, std::string_view("unknown")},
});

struct ApplyOutcome {
  ApplyOutcomeKind kind = ApplyOutcomeKind::kUnknown;
  std::int64_t revision = 0;                ///< When committed or nothing to change.
  std::vector<records::RecordKey> written;  ///< When committed: what differed before.
  /// On a conflict: the records as they stand, with revision 0 for one that is absent.
  std::vector<records::RecordEntry> current_entries;
  std::string message;
};

}  // namespace fireflyrun::store
