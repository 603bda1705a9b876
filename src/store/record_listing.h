#pragma once

#include <string>
#include <vector>

#include "common/finding.h"
#include "records/transfer.h"
#include "store/key_value.h"

namespace fireflyrun::store {

/// All records of a cluster at one moment.
struct RecordListing {
  records::Transfer transfer;   ///< From 0 to the last change of a record.
  Revision store_revision = 0;  ///< The store's; other keys may have been written since.
  Revision guard_revision = 0;  ///< Of the key that every write of records also writes.
  std::string guard_value;      ///< The ids of the last writes of records, newest first.
  Findings problems;            ///< Values that could not be read.
};

}  // namespace fireflyrun::store
