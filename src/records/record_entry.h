#pragma once

#include <cstdint>
#include <string>

#include "records/record_key.h"

namespace fireflyrun::records {

/// One record as stored.
struct RecordEntry {
  RecordKey key;
  std::string body;           ///< Canonical JSON text; a retired record keeps its last one.
  std::int64_t revision = 0;  ///< Of the change set that last wrote it.
  bool retired = false;
  std::string write_id;  ///< Identifies the write, so that its author can recognize it.

  bool operator==(const RecordEntry&) const = default;
};

}  // namespace fireflyrun::records
