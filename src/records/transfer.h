#pragma once

#include <cstdint>
#include <vector>

#include "records/record_entry.h"

namespace fireflyrun::records {

/// Every entry that changed after `from_revision` as it stands at `to_revision`. From 0 it is a
/// whole book: entries that it doesn't list are gone.
struct Transfer {
  std::int64_t from_revision = 0;
  std::int64_t to_revision = 0;
  std::vector<RecordEntry> entries;
};

}  // namespace fireflyrun::records
