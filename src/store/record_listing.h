#pragma once

#include <string>
#include <vector>

#include "common/finding.h"
#include "records/transfer.h"
#include "store/key_value.h"

namespace fireflyrun::store {

/// Snapshot of all records of a cluster.
struct RecordListing {
  records::Transfer transfer;   ///< From revision 0 to the last change of a record.
  Revision store_revision = 0;  ///< Of the store; may be later than the last change of a record.
  Revision guard_revision = 0;  ///< Of the guard key, which every write of records also writes.
  std::string guard_value;      ///< Ids of the last writes of records, newest first.
  Findings problems;            ///< Keys and values that could not be decoded.
};

}  // namespace fireflyrun::store
