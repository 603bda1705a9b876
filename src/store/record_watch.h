#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "common/clock.h"
#include "common/timer_subscription.h"
#include "records/change_set.h"
#include "records/transfer.h"
#include "store/record_codec.h"
#include "store/store.h"
#include "store/store_backoff.h"
#include "store/store_error.h"

namespace fireflyrun {
class TimerService;
}

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
  void ReadAll();
  void OnRead(tl::expected<Listing, StoreError> result);
  void OpenWatch(Revision first_revision);
  void OnBatch(const ChangeBatch& batch);
  void OnWatchEnd(const StoreError& error);
  void ReadAllAfter(Duration delay);

  Store& store;
  TimerService& timers;
  RecordKeySpace keys;
  ChangeSetHook on_change_set;
  TransferHook on_transfer;
  Revision last_delivered = 0;
  Store::WatchId watch = 0;
  SteadyTime watch_opened;
  StoreBackoff backoff;
  TimerSubscription retry_timer;
  bool stopped = false;
};

}  // namespace fireflyrun::store
