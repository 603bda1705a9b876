#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fireflyrun::store {

/// Orders every write of the store; 0 is before the first.
using Revision = std::int64_t;

/// A lease held in the store; 0 is no lease.
using LeaseId = std::int64_t;

/// One key as the store holds it.
struct KeyValue {
  std::string key;
  std::string value;
  Revision revision = 0;  ///< Of the key's last write.
  bool deleted = false;   ///< Only in watch events.
};

/// All keys below a prefix at one moment.
struct Listing {
  std::vector<KeyValue> entries;
  Revision revision = 0;  ///< The store's at that moment.
};

/// All changes below a prefix made by one transaction.
struct ChangeBatch {
  std::vector<KeyValue> changes;
  Revision revision = 0;
};

}  // namespace fireflyrun::store
