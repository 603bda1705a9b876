#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "records/record.h"
#include "store/apply_outcome.h"
#include "store/record_listing.h"
#include "store/record_source.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::store {

class Store;

/// Reads, writes and watches the records of one cluster in the store.
class RecordStore : public RecordSource {
 public:
  using ApplyHandler = std::function<void(ApplyOutcome)>;

  RecordStore(Store& store, TimerService& timers, std::string cluster);
  ~RecordStore() override;
  RecordStore(const RecordStore&) = delete;
  RecordStore& operator=(const RecordStore&) = delete;

  void Read(ReadHandler handler) override;

  /// Writes the records that differ from `read` in one transaction, if they are unchanged since
  /// `read`. A write of other records since then is also a conflict, because it may have changed
  /// records that these refer to: the caller must read and check again. After a lost answer, the
  /// outcome is determined by reading back.
  void Apply(std::vector<records::Record> records, const RecordListing& read, ApplyHandler handler);

  /// Marks records as retired under the same conditions as Apply(). Skips records that are absent
  /// from `read` or already retired.
  void Retire(std::vector<records::RecordKey> keys, const RecordListing& read,
              ApplyHandler handler);

  void WatchFrom(Revision revision, ChangeSetHook on_change_set, TransferHook on_transfer) override;
  void StopWatch() override;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::store
