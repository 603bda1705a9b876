#include "store/record_writer.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string_view>
#include <utility>

#include "common/id128.h"
#include "common/timer_service.h"
#include "records/record_envelope.h"
#include "store/store.h"

namespace fireflyrun::store {
namespace {

constexpr int kMaxAttempts = 6;
constexpr Duration kReadBackDelay = std::chrono::milliseconds(300);
/// Ids in the guard value. A writer whose answer was lost recognizes its write as long as its id is
/// among them.
constexpr std::size_t kGuardWriteIds = 32;

std::string NextGuardValue(const std::string& write_id, const std::string& previous) {
  std::string value = write_id;
  std::size_t end = 0;
  for (std::size_t kept = 1; kept < kGuardWriteIds && end < previous.size(); ++kept) {
    const std::size_t comma = std::min(previous.find(',', end), previous.size());
    value += ',' + previous.substr(end, comma - end);
    end = comma + 1;
  }
  return value;
}

bool GuardContains(std::string_view guard_value, const std::string& write_id) {
  return guard_value.find(write_id) != std::string_view::npos;
}

}  // namespace

RecordWriter::RecordWriter(Store& record_store, TimerService& timer_service,
                           RecordKeySpace key_space)
    : store(record_store),
      timers(timer_service),
      keys(std::move(key_space)),
      write_id(Id128::Random().ToHex()) {}

RecordWriter::~RecordWriter() = default;

void RecordWriter::Start(std::vector<records::RecordEntry> entries, const RecordListing& read,
                         Handler end_handler) {
  this->on_end = std::move(end_handler);
  this->written = std::move(entries);
  this->attempts_left = kMaxAttempts;
  std::map<records::RecordKey, Revision> revisions_read;
  for (const records::RecordEntry& entry : read.transfer.entries) {
    revisions_read[entry.key] = entry.revision;
  }
  this->transaction.conditions.push_back({this->keys.guard_key, read.guard_revision});
  this->transaction.writes.push_back(
      {this->keys.guard_key, NextGuardValue(this->write_id, read.guard_value), 0});
  for (const records::RecordEntry& entry : this->written) {
    const std::string key = this->keys.record_prefix + records::FormatRecordKey(entry.key);
    const auto found = revisions_read.find(entry.key);
    const Revision revision = found == revisions_read.end() ? 0 : found->second;
    this->transaction.conditions.push_back({key, revision});
    this->transaction.writes.push_back(
        {key, records::EncodeEnvelope({this->write_id, entry.retired, entry.body}), 0});
  }
  this->Commit();
}

void RecordWriter::Commit() {
  --this->attempts_left;
  this->store.Commit(this->transaction, [self = this->shared_from_this()](auto result) {
    self->OnCommitted(std::move(result));
  });
}

void RecordWriter::OnCommitted(tl::expected<TransactionResult, StoreError> result) {
  if (result && result->committed) {
    ApplyOutcome outcome;
    outcome.kind = ApplyOutcomeKind::kCommitted;
    outcome.revision = result->revision;
    this->End(std::move(outcome));
    return;
  }
  if (result) {
    this->OnConditionFailed(*result);
    return;
  }
  const bool lost = result.error().kind == StoreErrorKind::kUnknown;
  this->may_have_applied = this->may_have_applied || lost;
  if (this->may_have_applied) {
    this->ReadBackLater();
    return;
  }
  ApplyOutcome outcome;
  outcome.kind = ApplyOutcomeKind::kNotApplied;
  outcome.message = result.error().message;
  this->End(std::move(outcome));
}

void RecordWriter::OnConditionFailed(const TransactionResult& result) {
  Listing listing;
  listing.entries = result.current_values;
  listing.revision = result.revision;
  this->DetermineOutcome(ReadRecordListing(this->keys, listing));
}

void RecordWriter::ReadBackLater() {
  if (this->attempts_left <= 0) {
    ApplyOutcome outcome;
    outcome.kind = ApplyOutcomeKind::kUnknown;
    outcome.message = "the store's answer was lost and reading back failed";
    this->End(std::move(outcome));
    return;
  }
  this->retry_timer =
      this->timers.After(kReadBackDelay, [self = this->shared_from_this()] { self->ReadBack(); });
}

void RecordWriter::ReadBack() {
  --this->attempts_left;
  this->store.List(this->keys.common_prefix, [self = this->shared_from_this()](auto result) {
    self->OnReadBack(std::move(result));
  });
}

void RecordWriter::OnReadBack(tl::expected<Listing, StoreError> result) {
  if (!result) {
    this->ReadBackLater();
    return;
  }
  const RecordListing current = ReadRecordListing(this->keys, *result);
  const bool guard_unchanged =
      current.guard_revision == this->transaction.conditions.front().revision;
  if (!guard_unchanged) {
    this->DetermineOutcome(current);
    return;
  }
  // The transaction may still reach the store; sending it again is safe, because its conditions
  // let it take effect only once.
  if (this->attempts_left > 0) {
    this->Commit();
    return;
  }
  this->ReadBackLater();
}

bool RecordWriter::ContainsWriteId(const RecordListing& current) const {
  const auto is_own = [this](const records::RecordEntry& entry) {
    return entry.write_id == this->write_id;
  };
  const auto& entries = current.transfer.entries;
  return GuardContains(current.guard_value, this->write_id) ||
         std::any_of(entries.begin(), entries.end(), is_own);
}

/// Determines the outcome from the current entries, after the guard or a record has changed.
void RecordWriter::DetermineOutcome(const RecordListing& current) {
  ApplyOutcome outcome;
  if (this->ContainsWriteId(current)) {
    outcome.kind = ApplyOutcomeKind::kCommitted;
    outcome.revision = current.transfer.to_revision.number;
    for (const records::RecordEntry& entry : current.transfer.entries) {
      if (entry.write_id == this->write_id) outcome.revision = entry.revision;
    }
  } else {
    outcome.kind = ApplyOutcomeKind::kConflict;
    outcome.current_entries = this->ChangedRecords(current);
    outcome.message = outcome.current_entries.empty() ? "other records were written in the meantime"
                                                      : "another write came first";
  }
  this->End(std::move(outcome));
}

/// The current entries of those records to be written that changed since they were read.
std::vector<records::RecordEntry> RecordWriter::ChangedRecords(const RecordListing& current) const {
  std::vector<records::RecordEntry> changed;
  for (std::size_t i = 0; i < this->written.size(); ++i) {
    // The condition on the guard precedes those on the records.
    const Revision expected = this->transaction.conditions[i + 1].revision;
    records::RecordEntry current_entry;
    current_entry.key = this->written[i].key;
    for (const records::RecordEntry& entry : current.transfer.entries) {
      if (entry.key == current_entry.key) current_entry = entry;
    }
    if (current_entry.revision != expected) changed.push_back(std::move(current_entry));
  }
  return changed;
}

void RecordWriter::End(ApplyOutcome outcome) {
  if (outcome.kind == ApplyOutcomeKind::kCommitted) {
    for (const records::RecordEntry& entry : this->written) {
      outcome.written.push_back(entry.key);
    }
  }
  const Handler handler = std::exchange(this->on_end, nullptr);
  handler(std::move(outcome));
}

}  // namespace fireflyrun::store
