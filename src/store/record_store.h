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

/// The records of one cluster in the store.
class RecordStore : public RecordSource {
 public:
  using ApplyHandler = std::function<void(ApplyOutcome)>;

  RecordStore(Store& store, TimerService& timers, std::string cluster);
  ~RecordStore() override;
  RecordStore(const RecordStore&) = delete;
  RecordStore& operator=(const RecordStore&) = delete;

  void Read(ReadHandler handler) override;

  /// Writes the records that differ from `read`, all in one transaction, if they still stand as
  /// read. A write of other records in between is a conflict too, because it may have changed what
  /// these refer to: read and check again. A lost answer is settled by reading back.
  void Apply(std::vector<records::Record> records, const RecordListing& read, ApplyHandler handler);

  /// Marks records retired under the same conditions as Apply(); those absent from `read` or
  /// already retired are left alone.
  void Retire(std::vector<records::RecordKey> keys, const RecordListing& read,
              ApplyHandler handler);

  void WatchFrom(Revision revision, ChangeSetHook on_change_set, TransferHook on_transfer) override;
  void StopWatch() override;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::store
