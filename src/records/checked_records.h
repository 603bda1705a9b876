#pragma once

#include <vector>

#include "common/finding.h"
#include "records/record.h"

namespace fireflyrun::records {

/// The outcome of a check. `records` is empty unless `findings` is.
struct CheckedRecords {
  std::vector<Record> records;
  Findings findings;
};

}  // namespace fireflyrun::records
