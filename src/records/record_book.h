#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "records/change_result.h"
#include "records/change_set.h"
#include "records/record_entry.h"
#include "records/record_key.h"
#include "records/transfer.h"

namespace fireflyrun::records {

/// All records, retired ones included, as the store held them at one revision. The revision is
/// that of the last change set in it, so equal revisions mean equal books. It only ever rises.
class RecordBook {
 public:
  using ChangeHook = std::function<void(const RecordBook&)>;

  /// 0 for the empty book.
  std::int64_t Revision() const { return this->revision; }

  /// Applies the whole set if no change is missing between the book and it. A set from 0 on is a
  /// whole book: entries that it doesn't list are gone.
  ChangeResult ApplyChangeSet(const ChangeSet& change_set);

  /// Takes over a transfer that starts at or before the book's revision and ends after it; one from
  /// 0 is a whole book, so that entries that it doesn't list are gone. Returns
  /// whether the book changed; it stays as it was otherwise, also when an entry's revision lies
  /// outside the transfer's span.
  bool MergeTransfer(const Transfer& transfer);

  /// What a book at `since` needs to become this one; no entries when it is already as new. It
  /// starts at 0 when entries may have gone since then.
  Transfer ChangesSince(std::int64_t since) const;

  /// In order of keys.
  std::vector<RecordEntry> Entries() const;

  /// Null when there is no such record; a retired one is returned with its mark.
  const RecordEntry* Find(const RecordKey& key) const;

  /// Sets the hook that runs after each change, inside the call that made it.
  void OnChange(ChangeHook hook) { this->on_change = std::move(hook); }

 private:
  void StartAnew(std::int64_t at_revision);
  void Advance(std::int64_t to_revision);

  std::map<RecordKey, RecordEntry> entries;
  std::int64_t revision = 0;
  /// Of the last whole book taken over. What it dropped is unknown, so that an older book has to
  /// be replaced too.
  std::int64_t whole_revision = 0;
  ChangeHook on_change;
};

}  // namespace fireflyrun::records
