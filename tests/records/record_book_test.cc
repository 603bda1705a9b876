#include "records/record_book.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

namespace fireflyrun::records {
namespace {

constexpr int kNameCount = 5;

RecordEntry MakeEntry(int name, std::int64_t revision, bool retired = false) {
  const RecordKey key{RecordKind::kPriority, "p" + std::to_string(name), 1};
  return {key, "body" + std::to_string(revision), revision, retired, "w"};
}

/// Every state of a store by revision, and the change sets between them.
struct History {
  std::map<BookRevision, RecordBook> states;
  std::vector<ChangeSet> change_sets;
};

History MakeHistory() {
  History history;
  RecordBook book;
  history.states[0] = book;
  std::int64_t revision = 0;
  const int length = *rc::gen::inRange(1, 12);
  for (int i = 0; i < length; ++i) {
    ChangeSet change_set{revision, revision + *rc::gen::inRange(1, 4), {}};
    revision = change_set.revision;
    const int first_name = *rc::gen::inRange(0, kNameCount);
    for (int name = 0; name < kNameCount; ++name) {
      if (name != first_name && *rc::gen::arbitrary<bool>()) continue;
      change_set.entries.push_back(MakeEntry(name, revision, *rc::gen::arbitrary<bool>()));
    }
    RC_ASSERT(book.ApplyChangeSet(change_set) == ChangeResult::kApplied);
    history.states[revision] = book;
    history.change_sets.push_back(change_set);
  }
  return history;
}

/// Delivers a random change set or transfer to one of `books`; transfers come from the store or
/// from another of the books.
void DeliverOne(const History& history, std::vector<RecordBook>& books) {
  RecordBook& book = books[*rc::gen::inRange<std::size_t>(0, books.size())];
  if (*rc::gen::arbitrary<bool>()) {
    book.ApplyChangeSet(*rc::gen::elementOf(history.change_sets));
    return;
  }
  const RecordBook& source = books[*rc::gen::inRange<std::size_t>(0, books.size())];
  const auto state = *rc::gen::elementOf(history.states);
  const RecordBook& sender = *rc::gen::arbitrary<bool>() ? source : state.second;
  book.MergeTransfer(sender.ChangesSince(*rc::gen::inRange<std::int64_t>(0, 40)));
}

/// Guards against a book that is taken for known since its revision has the number of an older one.
TEST(RecordBookTest, BooksOfOneNumberAreOrderedByTheRest) {
  RecordBook older;
  RecordBook newer;
  EXPECT_TRUE(older.MergeTransfer({0, {8, ".1"}, {MakeEntry(1, 8, false)}}));
  EXPECT_TRUE(newer.MergeTransfer({0, {8, ".2"}, {MakeEntry(2, 8, false)}}));
  EXPECT_FALSE(newer.MergeTransfer(older.ChangesSince(0)));
  EXPECT_TRUE(newer.ChangesSince(newer.Revision()).entries.empty());
  EXPECT_TRUE(older.MergeTransfer(newer.ChangesSince(older.Revision())));
  EXPECT_EQ(older.Entries(), newer.Entries());
  EXPECT_EQ(older.Revision(), (BookRevision{8, ".2"}));
}

RC_GTEST_PROP(RecordBookTest, AlwaysEqualsAStoreStateAndNeverReverts, ()) {
  const History history = MakeHistory();
  std::vector<RecordBook> books(3);
  for (int step = 0; step < 40; ++step) {
    std::vector<BookRevision> before;
    before.reserve(books.size());
    for (const RecordBook& book : books) before.push_back(book.Revision());
    DeliverOne(history, books);
    for (std::size_t i = 0; i < books.size(); ++i) {
      RC_ASSERT(books[i].Revision() >= before[i]);
      RC_ASSERT(history.states.contains(books[i].Revision()));
      RC_ASSERT(books[i].Entries() == history.states.at(books[i].Revision()).Entries());
    }
  }
}

TEST(RecordBookTest, DistinguishesGapFromStale) {
  RecordBook book;
  EXPECT_EQ(book.ApplyChangeSet({4, 7, {MakeEntry(1, 7)}}), ChangeResult::kGap);
  EXPECT_EQ(book.ApplyChangeSet({0, 4, {MakeEntry(1, 4)}}), ChangeResult::kApplied);
  EXPECT_EQ(book.ApplyChangeSet({0, 4, {MakeEntry(1, 4)}}), ChangeResult::kStale);
  EXPECT_EQ(book.ApplyChangeSet({4, 7, {MakeEntry(1, 7)}}), ChangeResult::kApplied);
  EXPECT_EQ(book.Revision(), 7);
}

TEST(RecordBookTest, RejectsTransferWithEntriesOutsideItsSpan) {
  RecordBook book;
  EXPECT_FALSE(book.MergeTransfer({0, 5, {MakeEntry(1, 3), MakeEntry(2, 6)}}));
  EXPECT_EQ(book.Revision(), 0);
  EXPECT_TRUE(book.Entries().empty());
}

TEST(RecordBookTest, FullBookReplacesOlderBooksAlsoThroughPeers) {
  RecordBook old_book;
  old_book.ApplyChangeSet({0, 4, {MakeEntry(1, 4), MakeEntry(2, 4)}});
  const RecordBook other = old_book;
  ASSERT_TRUE(old_book.MergeTransfer({0, 7, {MakeEntry(2, 7)}}));
  EXPECT_EQ(old_book.Entries(), std::vector{MakeEntry(2, 7)});
  const Transfer changes_since = old_book.ChangesSince(other.Revision());
  RecordBook by_transfer = other;
  EXPECT_TRUE(by_transfer.MergeTransfer(changes_since));
  EXPECT_EQ(by_transfer.Entries(), old_book.Entries());
  RecordBook by_change_set = other;
  EXPECT_EQ(by_change_set.ApplyChangeSet({changes_since.from_revision.number,
                                          changes_since.to_revision.number, changes_since.entries}),
            ChangeResult::kApplied);
  EXPECT_EQ(by_change_set.Entries(), old_book.Entries());
  EXPECT_EQ(old_book.ChangesSince(7).from_revision, 7);
}

TEST(RecordBookTest, RunsChangeHookOnlyOnChange) {
  RecordBook book;
  int changes = 0;
  book.OnChange([&](const RecordBook&) { ++changes; });
  book.ApplyChangeSet({0, 4, {MakeEntry(1, 4)}});
  book.ApplyChangeSet({0, 4, {MakeEntry(1, 4)}});
  book.MergeTransfer({0, 4, {MakeEntry(1, 4)}});
  EXPECT_EQ(changes, 1);
}

}  // namespace
}  // namespace fireflyrun::records
