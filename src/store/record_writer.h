#pragma once

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/timer_subscription.h"
#include "records/record_entry.h"
#include "store/apply_outcome.h"
#include "store/record_codec.h"
#include "store/record_listing.h"
#include "store/store_error.h"
#include "store/transaction.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::store {

class Store;

/// One write of records: one transaction, repeated until its outcome is known or the attempts are
/// used up. Every write also rewrites the guard key, which lists the last write ids, under the
/// condition that it stands as read. So a write whose answer was lost is in that list or, once the
/// guard has moved on, can never take effect.
class RecordWriter : public std::enable_shared_from_this<RecordWriter> {
 public:
  using Handler = std::function<void(ApplyOutcome)>;

  RecordWriter(Store& record_store, TimerService& timer_service, RecordKeySpace key_space);
  ~RecordWriter();
  RecordWriter(const RecordWriter&) = delete;
  RecordWriter& operator=(const RecordWriter&) = delete;

  /// Writes `entries` if they and the guard stand as in `read`. Keeps itself alive until then.
  void Start(std::vector<records::RecordEntry> entries, const RecordListing& read,
             Handler end_handler);

 private:
  void Commit();
  void OnCommitted(tl::expected<TransactionResult, StoreError> result);
  void OnConditionFailed(const TransactionResult& result);
  void ReadBackLater();
  void ReadBack();
  void OnReadBack(tl::expected<Listing, StoreError> result);
  void Settle(const RecordListing& now);
  bool HoldsWriteId(const RecordListing& now) const;
  std::vector<records::RecordEntry> StandingRecords(const RecordListing& now) const;
  void End(ApplyOutcome outcome);

  Store& store;
  TimerService& timers;
  RecordKeySpace keys;
  std::string write_id;
  std::vector<records::RecordEntry> written;
  Transaction transaction;
  Handler on_end;
  int attempts_left = 0;
  bool may_have_applied = false;
  TimerSubscription retry_timer;
};

}  // namespace fireflyrun::store
