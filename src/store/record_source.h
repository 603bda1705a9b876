#pragma once

#include <functional>
#include <tl/expected.hpp>

#include "common/finding.h"
#include "records/change_set.h"
#include "records/transfer.h"
#include "store/key_value.h"
#include "store/record_listing.h"
#include "store/store_error.h"

namespace fireflyrun::store {

/// Provides the records of a cluster. Handlers and hooks run on the event loop, never inside the
/// call that takes them, and not after the source is destroyed.
class RecordSource {
 public:
  using ReadHandler = std::function<void(tl::expected<RecordListing, StoreError>)>;
  using ChangeSetHook = std::function<void(records::ChangeSet)>;
  using TransferHook = std::function<void(records::Transfer)>;

  RecordSource() = default;
  virtual ~RecordSource() = default;
  RecordSource(const RecordSource&) = delete;
  RecordSource& operator=(const RecordSource&) = delete;

  virtual void Read(ReadHandler handler) = 0;

  /// Reports every change after `revision`, the revision of a record book, in order until
  /// StopWatch(): change sets while the watch is open, and a transfer of all records whenever the
  /// watch had to be reopened or the store no longer holds the history. A revision of 0 starts with
  /// a transfer. Replaces an earlier watch.
  virtual void WatchFrom(Revision revision, ChangeSetHook on_change_set,
                         TransferHook on_transfer) = 0;

  virtual void StopWatch() = 0;

  /// What the newest state of the source contains that can't be used as it is written there.
  virtual Findings Problems() const { return {}; }
};

}  // namespace fireflyrun::store
