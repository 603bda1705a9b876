#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "common/finding.h"
#include "records/checked_records.h"
#include "records/record_entry.h"
#include "records/record_key.h"

namespace fireflyrun::records {

inline constexpr std::size_t kMaxFileBytes = std::size_t{1} << 20;
inline constexpr std::size_t kMaxJsonDepth = 32;
/// The records of a file form one change set, which is one store transaction, and stores limit the
/// operations of a transaction.
inline constexpr std::size_t kMaxRecordsPerFile = 100;
inline constexpr std::size_t kMaxFindings = 200;

/// Checks a file that holds one record or a JSON array of records. `known` are the records
/// in the store; references may name these or records of the same file. Reports all errors at once,
/// up to kMaxFindings, each with its place as `FILE:/json/pointer`.
CheckedRecords CheckRecords(std::string_view file_name, std::string_view text,
                            const std::vector<RecordEntry>& known);

/// Checks that the records `keys` may be retired together: each is in force, and no remaining
/// record refers to a name that would have no record.
Findings CheckRetirement(const std::vector<RecordKey>& keys, const std::vector<RecordEntry>& known);

}  // namespace fireflyrun::records
