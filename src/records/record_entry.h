#pragma once

#include <cstdint>
#include <string>

#include "records/record_key.h"

namespace fireflyrun::records {

/// One record as the store holds it.
struct RecordEntry {
  RecordKey key;
  std::string body;           ///< Canonical JSON text; kept as it was last for a retired record.
  std::int64_t revision = 0;  ///< Of the change set that last wrote it.
  bool retired = false;
  std::string write_id;  ///< Names the write, so that its author can recognise it.

  bool operator==(const RecordEntry&) const = default;
};

}  // namespace fireflyrun::records
