#include "store/record_watch.h"

#include <utility>

#include "common/log_event.h"
#include "common/timer_service.h"

namespace fireflyrun::store {
namespace {

/// A watch that was open for at least this long resets the retry delay.
constexpr Duration kStableWatchDuration = std::chrono::seconds(10);

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

RecordWatch::~RecordWatch() = default;

void RecordWatch::Start(Revision revision) {
  this->last_delivered = revision;
  if (revision == 0) {
    this->ReadAll();
  } else {
    this->OpenWatch(revision + 1);
  }
}

void RecordWatch::Stop() {
  this->stopped = true;
  this->retry_timer.Reset();
  if (this->watch != 0) this->store.CancelWatch(std::exchange(this->watch, 0));
}

void RecordWatch::ReadAll() {
  this->store.List(this->keys.common_prefix, [weak = this->weak_from_this()](auto result) {
    const auto self = weak.lock();
    if (self && !self->stopped) self->OnRead(std::move(result));
  });
}

void RecordWatch::OnRead(tl::expected<Listing, StoreError> result) {
  if (!result) {
    this->ReadAllAfter(this->backoff.Next());
    return;
  }
  RecordListing read = ReadRecordListing(this->keys, *result);
  LogProblems(read.problems);
  if (read.transfer.to_revision > this->last_delivered) {
    this->last_delivered = read.transfer.to_revision;
    this->on_transfer(std::move(read.transfer));
    if (this->stopped) return;
  }
  this->OpenWatch(read.store_revision + 1);
}

void RecordWatch::OpenWatch(Revision first_revision) {
  this->watch_opened = SteadyClock::now();
  const std::weak_ptr<RecordWatch> weak = this->weak_from_this();
  this->watch = this->store.Watch(
      this->keys.record_prefix, first_revision,
      [weak](const ChangeBatch& batch) {
        const auto self = weak.lock();
        if (self && !self->stopped) self->OnBatch(batch);
      },
      [weak](const StoreError& error) {
        const auto self = weak.lock();
        if (self && !self->stopped) self->OnWatchEnd(error);
      });
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

void RecordWatch::OnWatchEnd(const StoreError& error) {
  this->watch = 0;
  LogEvent(LogLevel::kInfo, "records", "watch-ended")
      .Add("cause", kStoreErrorKindNames.NameOf(error.kind))
      .Add("detail", error.message);
  if (SteadyClock::now() - this->watch_opened >= kStableWatchDuration) this->backoff.Reset();
  const bool is_first_failure = this->backoff.IsReset();
  const Duration delay = this->backoff.Next();
  if (error.kind == StoreErrorKind::kCompacted && is_first_failure) {
    // A listing lets the watch resume after the compacted revisions; only a repeated compaction has
    // to wait.
    this->ReadAll();
  } else {
    this->ReadAllAfter(delay);
  }
}

void RecordWatch::ReadAllAfter(Duration delay) {
  this->retry_timer = this->timers.After(delay, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->stopped) self->ReadAll();
  });
}

}  // namespace fireflyrun::store
