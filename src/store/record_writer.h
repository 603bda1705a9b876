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

/// One write of records: one transaction, retried until its outcome is known or no attempts are
/// left. Every write also rewrites the guard key, which lists the last write ids, on condition that
/// the guard is unchanged since it was read. So a write whose answer was lost is either in that
/// list or, once the guard has changed, can never take effect.
class RecordWriter : public std::enable_shared_from_this<RecordWriter> {
 public:
  using Handler = std::function<void(ApplyOutcome)>;

  RecordWriter(Store& record_store, TimerService& timer_service, RecordKeySpace key_space);
  ~RecordWriter();
  RecordWriter(const RecordWriter&) = delete;
  RecordWriter& operator=(const RecordWriter&) = delete;

  /// Writes `entries` if they and the guard are unchanged since `read`. Keeps itself alive until
  /// the handler has run.
  void Start(std::vector<records::RecordEntry> entries, const RecordListing& read,
             Handler end_handler);

 private:
  void Commit();
  void OnCommitted(tl::expected<TransactionResult, StoreError> result);
  void OnConditionFailed(const TransactionResult& result);
  void ReadBackLater();
  void ReadBack();
  void OnReadBack(tl::expected<Listing, StoreError> result);
  void DetermineOutcome(const RecordListing& current);
  bool ContainsWriteId(const RecordListing& current) const;
  std::vector<records::RecordEntry> ChangedRecords(const RecordListing& current) const;
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
