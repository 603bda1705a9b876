#pragma once

#include <vector>

#include "records/book_revision.h"
#include "records/record_entry.h"

namespace fireflyrun::records {

/// Every entry that changed after `from_revision`, in its state at `to_revision`. A transfer from
/// revision 0 is a full record book: entries that it doesn't list are removed.
struct Transfer {
  BookRevision from_revision;
  BookRevision to_revision;
  std::vector<RecordEntry> entries;
};

}  // namespace fireflyrun::records
