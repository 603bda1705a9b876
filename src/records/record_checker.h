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
/// A change set is one store transaction, and stores bound the operations of one.
inline constexpr std::size_t kMaxRecordsPerFile = 100;
inline constexpr std::size_t kMaxFindings = 200;

/// Checks a file that holds one record or a JSON array of records. `known` are the records that
/// stand in the store; references may name them or records of the same file. Reports everything
/// wrong at once, each with its place as `FILE:/json/pointer`, at most kMaxFindings of them.
CheckedRecords CheckRecords(std::string_view file_name, std::string_view text,
                            const std::vector<RecordEntry>& known);

/// Checks that the records `keys` may be retired together: each stands, and nothing that remains
/// refers to a name that would be left without a record.
Findings CheckRetirement(const std::vector<RecordKey>& keys, const std::vector<RecordEntry>& known);

}  // namespace fireflyrun::records
