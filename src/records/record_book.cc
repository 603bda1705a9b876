#include "records/record_book.h"

#include <algorithm>

namespace fireflyrun::records {

ChangeResult RecordBook::ApplyChangeSet(const ChangeSet& change_set) {
  if (change_set.revision <= this->revision) return ChangeResult::kStale;
  if (change_set.previous_revision > this->revision) return ChangeResult::kGap;
  if (change_set.previous_revision == 0) this->Reset(change_set.revision);
  for (const RecordEntry& entry : change_set.entries) {
    RecordEntry& current = this->entries[entry.key];
    current = entry;
    current.revision = change_set.revision;
  }
  this->Advance(change_set.revision);
  return ChangeResult::kApplied;
}

bool RecordBook::MergeTransfer(const Transfer& transfer) {
  if (transfer.from_revision > this->revision) return false;
  if (transfer.to_revision <= this->revision) return false;
  const auto is_outside = [&transfer](const RecordEntry& entry) {
    return entry.revision <= transfer.from_revision.number ||
           entry.revision > transfer.to_revision.number;
  };
  if (std::any_of(transfer.entries.begin(), transfer.entries.end(), is_outside)) return false;
  if (transfer.from_revision == 0) this->Reset(transfer.to_revision);
  for (const RecordEntry& entry : transfer.entries) {
    this->entries[entry.key] = entry;
  }
  this->Advance(transfer.to_revision);
  return true;
}

Transfer RecordBook::ChangesSince(BookRevision since) const {
  if (since < this->full_book_revision) since = {};
  Transfer transfer{since, this->revision, {}};
  for (const auto& [key, entry] : this->entries) {
    if (entry.revision > since.number) transfer.entries.push_back(entry);
  }
  return transfer;
}

std::vector<RecordEntry> RecordBook::Entries() const {
  std::vector<RecordEntry> list;
  list.reserve(this->entries.size());
  for (const auto& [key, entry] : this->entries) {
    list.push_back(entry);
  }
  return list;
}

const RecordEntry* RecordBook::Find(const RecordKey& key) const {
  const auto found = this->entries.find(key);
  return found == this->entries.end() ? nullptr : &found->second;
}

void RecordBook::Reset(const BookRevision& at_revision) {
  this->entries.clear();
  this->full_book_revision = at_revision;
}

void RecordBook::Advance(const BookRevision& to_revision) {
  this->revision = to_revision;
  if (this->on_change) this->on_change(*this);
}

}  // namespace fireflyrun::records
