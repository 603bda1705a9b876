#pragma once

#include <cstdint>
#include <vector>

#include "records/record_entry.h"

namespace fireflyrun::records {

/// Every entry that changed after `from_revision`, in its state at `to_revision`. A transfer from
/// revision 0 is a full record book: entries that it doesn't list are removed.
struct Transfer {
  std::int64_t from_revision = 0;
  std::int64_t to_revision = 0;
  std::vector<RecordEntry> entries;
};

}  // namespace fireflyrun::records
