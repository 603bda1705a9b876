#pragma once

#include <cstdint>
#include <vector>

#include "records/record_entry.h"

namespace fireflyrun::records {

/// All records written by one store transaction. With `previous_revision` 0 it contains a full
/// record book.
struct ChangeSet {
  std::int64_t previous_revision = 0;  ///< No record changed between this revision and `revision`.
  std::int64_t revision = 0;
  std::vector<RecordEntry> entries;
};

}  // namespace fireflyrun::records
