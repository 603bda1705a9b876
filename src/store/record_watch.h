#pragma once

#include <functional>
#include <memory>

#include "records/change_set.h"
#include "records/transfer.h"
#include "store/prefix_follower.h"
#include "store/record_codec.h"

namespace fireflyrun::store {

/// Reports changes of the records of a cluster: from a watch, and from a listing whenever the watch
/// ended.
class RecordWatch : public std::enable_shared_from_this<RecordWatch> {
 public:
  using ChangeSetHook = std::function<void(records::ChangeSet)>;
  using TransferHook = std::function<void(records::Transfer)>;

  RecordWatch(Store& record_store, TimerService& timer_service, RecordKeySpace key_space,
              ChangeSetHook change_set_hook, TransferHook transfer_hook);
  ~RecordWatch();
  RecordWatch(const RecordWatch&) = delete;
  RecordWatch& operator=(const RecordWatch&) = delete;

  /// Starts reporting the changes after `revision`.
  void Start(Revision revision);
  /// No hook runs after this.
  void Stop();

 private:
  Revision OnListing(const Listing& listing);
  void OnBatch(const ChangeBatch& batch);

  Store& store;
  TimerService& timers;
  RecordKeySpace keys;
  ChangeSetHook on_change_set;
  TransferHook on_transfer;
  Revision last_delivered = 0;
  std::shared_ptr<PrefixFollower> follower;
};

}  // namespace fireflyrun::store
