#pragma once

#include <string>
#include <vector>

#include "store/key_value.h"

namespace fireflyrun::store {

/// One message of an etcd watch stream.
struct WatchMessage {
  Revision store_revision = 0;
  bool created = false;           ///< The watch stands now.
  bool cancelled = false;         ///< The server ended the watch.
  Revision compact_revision = 0;  ///< When cancelled because older revisions are gone.
  std::string reason;             ///< When cancelled.
  std::vector<ChangeBatch> batches;

  /// A progress notification says that every change up to `store_revision` was delivered.
  bool IsProgress() const { return !this->created && !this->cancelled && this->batches.empty(); }
};

}  // namespace fireflyrun::store
