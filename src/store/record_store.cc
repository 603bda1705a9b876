#include "store/record_store.h"

#include <asio/post.hpp>
#include <map>
#include <utility>

#include "common/timer_service.h"
#include "store/record_codec.h"
#include "store/record_watch.h"
#include "store/record_writer.h"
#include "store/store.h"

namespace fireflyrun::store {

class RecordStore::Implementation
    : public std::enable_shared_from_this<RecordStore::Implementation> {
 public:
  Implementation(Store& key_value_store, TimerService& timer_service, const std::string& cluster)
      : store(key_value_store), timers(timer_service), keys(cluster) {}

  void Read(ReadHandler handler) {
    this->store.List(this->keys.common_prefix,
                     [weak = this->weak_from_this(),
                      handler = std::move(handler)](tl::expected<Listing, StoreError> result) {
                       const auto self = weak.lock();
                       if (!self) return;
                       handler(result.map([&self](const Listing& listing) {
                         return ReadRecordListing(self->keys, listing);
                       }));
                     });
  }

  void Write(std::vector<records::RecordEntry> entries, const RecordListing& read,
             ApplyHandler handler) {
    auto guarded = [weak = this->weak_from_this(),
                    handler = std::move(handler)](ApplyOutcome outcome) {
      if (!weak.expired()) handler(std::move(outcome));
    };
    if (entries.empty()) {
      ApplyOutcome outcome;
      outcome.kind = ApplyOutcomeKind::kNothingToChange;
      outcome.revision = read.transfer.to_revision.number;
      asio::post(this->timers.Loop(),
                 [guarded, outcome = std::move(outcome)] { guarded(outcome); });
      return;
    }
    const auto writer = std::make_shared<RecordWriter>(this->store, this->timers, this->keys);
    writer->Start(std::move(entries), read, std::move(guarded));
  }

  void WatchFrom(Revision revision, ChangeSetHook on_change_set, TransferHook on_transfer) {
    this->StopWatch();
    this->watch = std::make_shared<RecordWatch>(this->store, this->timers, this->keys,
                                                std::move(on_change_set), std::move(on_transfer));
    this->watch->Start(revision);
  }

  void StopWatch() {
    if (this->watch) this->watch->Stop();
    this->watch.reset();
  }

 private:
  Store& store;
  TimerService& timers;
  RecordKeySpace keys;
  std::shared_ptr<RecordWatch> watch;
};

namespace {

std::map<records::RecordKey, const records::RecordEntry*> IndexEntries(const RecordListing& read) {
  std::map<records::RecordKey, const records::RecordEntry*> index;
  for (const records::RecordEntry& entry : read.transfer.entries) {
    index[entry.key] = &entry;
  }
  return index;
}

}  // namespace

RecordStore::RecordStore(Store& store, TimerService& timers, std::string cluster)
    : implementation(std::make_shared<Implementation>(store, timers, cluster)) {}

RecordStore::~RecordStore() { this->implementation->StopWatch(); }

void RecordStore::Read(ReadHandler handler) { this->implementation->Read(std::move(handler)); }

void RecordStore::Apply(std::vector<records::Record> records, const RecordListing& read,
                        ApplyHandler handler) {
  const auto entries_read = IndexEntries(read);
  std::vector<records::RecordEntry> changed;
  for (records::Record& record : records) {
    const auto found = entries_read.find(record.key);
    const bool is_same = found != entries_read.end() && !found->second->retired &&
                         found->second->body == record.body;
    if (is_same) continue;
    records::RecordEntry entry;
    entry.key = std::move(record.key);
    entry.body = std::move(record.body);
    changed.push_back(std::move(entry));
  }
  this->implementation->Write(std::move(changed), read, std::move(handler));
}

void RecordStore::Retire(std::vector<records::RecordKey> keys, const RecordListing& read,
                         ApplyHandler handler) {
  const auto entries_read = IndexEntries(read);
  std::vector<records::RecordEntry> changed;
  for (const records::RecordKey& key : keys) {
    const auto found = entries_read.find(key);
    if (found == entries_read.end() || found->second->retired) continue;
    records::RecordEntry entry = *found->second;
    entry.retired = true;
    changed.push_back(std::move(entry));
  }
  this->implementation->Write(std::move(changed), read, std::move(handler));
}

void RecordStore::WatchFrom(Revision revision, ChangeSetHook on_change_set,
                            TransferHook on_transfer) {
  this->implementation->WatchFrom(revision, std::move(on_change_set), std::move(on_transfer));
}

void RecordStore::StopWatch() { this->implementation->StopWatch(); }

}  // namespace fireflyrun::store
