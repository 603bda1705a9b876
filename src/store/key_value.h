#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fireflyrun::store {

/// Sequence number that orders all writes to the store; 0 is before the first write.
using Revision = std::int64_t;

/// A lease held in the store; 0 is no lease.
using LeaseId = std::int64_t;

/// One key with its value in the store.
struct KeyValue {
  std::string key;
  std::string value;
  Revision revision = 0;  ///< Of the last write to the key.
  bool deleted = false;   ///< Set only in watch events.
};

/// Snapshot of all keys below a prefix.
struct Listing {
  std::vector<KeyValue> entries;
  Revision revision = 0;  ///< The revision of the store at the snapshot.
};

/// All changes below a prefix made by one transaction.
struct ChangeBatch {
  std::vector<KeyValue> changes;
  Revision revision = 0;
};

}  // namespace fireflyrun::store
