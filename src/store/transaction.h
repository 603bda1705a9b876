#pragma once

#include <string>
#include <vector>

#include "store/key_value.h"

namespace fireflyrun::store {

/// Holds when the key's last write has this revision; 0 means that the key is absent.
struct Condition {
  std::string key;
  Revision revision = 0;
};

struct Write {
  std::string key;
  std::string value;
  LeaseId lease = 0;
};

/// Writes that take effect together, at one revision, if every condition holds.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

struct TransactionResult {
  bool committed = false;
  Revision revision = 0;
  /// When not committed: the condition's keys as they stand, absent ones left out.
  std::vector<KeyValue> current_values;
};

}  // namespace fireflyrun::store
