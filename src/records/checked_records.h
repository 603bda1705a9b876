#pragma once

#include <vector>

#include "common/finding.h"
#include "records/record.h"

namespace fireflyrun::records {

/// The result of a check. `records` is empty if there are `findings`.
struct CheckedRecords {
  std::vector<Record> records;
  Findings findings;
};

}  // namespace fireflyrun::records
