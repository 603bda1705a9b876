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

/// Outcome of a write of records.
enum class ApplyOutcomeKind {
  kCommitted,        ///< The store holds all records, at one revision.
  kNothingToChange,  ///< The store already holds exactly these records.
  kConflict,         ///< Another write committed first; this one had no effect.
  kNotApplied,       ///< The store was unreachable or refused the write, which had no effect.
  kUnknown,          ///< It is not known whether the write took effect.
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
  std::int64_t revision = 0;                ///< Set for kCommitted and kNothingToChange.
  std::vector<records::RecordKey> written;  ///< Set for kCommitted: the records that changed.
  /// Set for kConflict: the current entries, with revision 0 for an absent record.
  std::vector<records::RecordEntry> current_entries;
  std::string message;
};

}  // namespace fireflyrun::store
