#pragma once

#include <string>
#include <vector>

#include "store/key_value.h"

namespace fireflyrun::store {

/// True if the last write to the key has this revision; 0 requires the key to be absent.
struct Condition {
  std::string key;
  Revision revision = 0;
};

struct Write {
  std::string key;
  std::string value;
  LeaseId lease = 0;
};

/// Writes that take effect atomically, at one revision, if all conditions are true.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

struct TransactionResult {
  bool committed = false;
  Revision revision = 0;
  /// If not committed: the current values of the keys in the conditions, without absent keys.
  std::vector<KeyValue> current_values;
};

}  // namespace fireflyrun::store
