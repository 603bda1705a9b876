#include "store/record_watch.h"

#include <utility>

#include "common/log_event.h"

namespace fireflyrun::store {
namespace {

void LogProblems(const Findings& problems) {
  for (const Finding& problem : problems) {
    LogEvent(LogLevel::kWarning, "records", "problem")
        .Add("place", problem.place)
        .Add("problem", problem.message);
  }
}

}  // namespace

RecordWatch::RecordWatch(Store& record_store, TimerService& timer_service, RecordKeySpace key_space,
                         ChangeSetHook change_set_hook, TransferHook transfer_hook)
    : store(record_store),
      timers(timer_service),
      keys(std::move(key_space)),
      on_change_set(std::move(change_set_hook)),
      on_transfer(std::move(transfer_hook)) {}

RecordWatch::~RecordWatch() { this->Stop(); }

/// The hooks keep this object alive while they run: what they report may end it.
void RecordWatch::Start(Revision revision) {
  this->last_delivered = revision;
  const std::weak_ptr<RecordWatch> weak = this->weak_from_this();
  PrefixFollower::Hooks hooks;
  hooks.on_listing = [weak](const Listing& listing) {
    const auto self = weak.lock();
    return self ? self->OnListing(listing) : listing.revision;
  };
  hooks.on_batch = [weak](const ChangeBatch& batch) {
    if (const auto self = weak.lock()) self->OnBatch(batch);
  };
  this->follower = std::make_shared<PrefixFollower>(
      this->store, this->timers, "records",
      PrefixFollower::Prefixes{this->keys.common_prefix, this->keys.record_prefix},
      std::move(hooks));
  this->follower->Start(revision);
}

void RecordWatch::Stop() {
  if (this->follower) this->follower->Stop();
}

Revision RecordWatch::OnListing(const Listing& listing) {
  RecordListing read = ReadRecordListing(this->keys, listing);
  LogProblems(read.problems);
  if (read.transfer.to_revision.number > this->last_delivered) {
    this->last_delivered = read.transfer.to_revision.number;
    this->on_transfer(std::move(read.transfer));
  }
  return read.store_revision;
}

void RecordWatch::OnBatch(const ChangeBatch& batch) {
  if (batch.revision <= this->last_delivered) return;
  Findings problems;
  records::ChangeSet change_set{this->last_delivered, batch.revision, {}};
  for (const KeyValue& change : batch.changes) {
    auto entry = ReadRecordEntry(this->keys, change, problems);
    if (entry) change_set.entries.push_back(std::move(*entry));
  }
  LogProblems(problems);
  if (change_set.entries.empty()) return;
  this->last_delivered = batch.revision;
  this->on_change_set(std::move(change_set));
}

}  // namespace fireflyrun::store
