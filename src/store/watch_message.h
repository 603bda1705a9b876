#pragma once

#include <string>
#include <vector>

#include "store/key_value.h"

namespace fireflyrun::store {

/// One message of an etcd watch stream.
struct WatchMessage {
  Revision store_revision = 0;
  bool created = false;           ///< The server has created the watch.
  bool cancelled = false;         ///< The server ended the watch.
  Revision compact_revision = 0;  ///< Set if cancelled because older revisions were compacted.
  std::string reason;             ///< Set if cancelled.
  std::vector<ChangeBatch> batches;

  /// A progress notification confirms that every change up to `store_revision` was delivered.
  bool IsProgress() const { return !this->created && !this->cancelled && this->batches.empty(); }
};

}  // namespace fireflyrun::store
