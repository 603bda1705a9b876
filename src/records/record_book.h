#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "records/book_revision.h"
#include "records/change_result.h"
#include "records/change_set.h"
#include "records/record_entry.h"
#include "records/record_key.h"
#include "records/transfer.h"

namespace fireflyrun::records {

/// All records, including retired ones, as they were in the store at one revision: that of the last
/// change set applied. Books of equal revision are equal, and the revision never decreases.
class RecordBook {
 public:
  using ChangeHook = std::function<void(const RecordBook&)>;

  /// 0 for the empty book.
  const BookRevision& Revision() const { return this->revision; }

  /// Applies the set if no change between the book's revision and the set is missing. A set from
  /// revision 0 is a full book: entries that it doesn't list are removed.
  ChangeResult ApplyChangeSet(const ChangeSet& change_set);

  /// Applies a transfer that starts at or before the book's revision and ends after it. A transfer
  /// from revision 0 is a full book: entries that it doesn't list are removed. Returns whether the
  /// book changed; a transfer with an entry whose revision is outside its span changes nothing.
  bool MergeTransfer(const Transfer& transfer);

  /// The transfer that brings a book at revision `since` up to this one; without entries if that
  /// book is not older. It starts at 0 if entries may have been removed since then.
  Transfer ChangesSince(BookRevision since) const;

  /// All entries, sorted by key.
  std::vector<RecordEntry> Entries() const;

  /// Null if there is no such record. Retired records are found as well.
  const RecordEntry* Find(const RecordKey& key) const;

  /// Sets the hook that runs after each change, before the call that made it returns.
  void OnChange(ChangeHook hook) { this->on_change = std::move(hook); }

 private:
  void Reset(const BookRevision& at_revision);
  void Advance(const BookRevision& to_revision);

  std::map<RecordKey, RecordEntry> entries;
  BookRevision revision;
  /// Revision of the last full book applied. Which entries it removed is unknown, so an older book
  /// needs a full transfer.
  BookRevision full_book_revision;
  ChangeHook on_change;
};

}  // namespace fireflyrun::records
