#include "store/record_store.h"

#include <algorithm>

#include "records/record_book.h"
#include "records/record_checker.h"
#include "tests/store/store_fixture.h"

namespace fireflyrun::store {
namespace {

std::vector<records::Record> Priorities(const std::vector<std::string>& names, int rank) {
  std::string text = "[";
  for (const std::string& name : names) {
    if (text.size() > 1) text += ',';
    text += R"({"kind":"priority","schema":1,"name":")" + name + R"(","rank":)" +
            std::to_string(rank) + R"(,"may_leave_region":true})";
  }
  return records::CheckRecords("F", text + "]", {}).records;
}

const records::RecordKey kLowKey{records::RecordKind::kPriority, "low", 1};

class RecordStoreTest : public StoreFixture {
 protected:
  RecordListing Read() {
    auto read = this->Await<tl::expected<RecordListing, StoreError>>(
        [&](auto handler) { this->records->Read(handler); });
    EXPECT_TRUE(read.has_value());
    return read.value_or(RecordListing());
  }

  ApplyOutcome Apply(const std::vector<records::Record>& changed, const RecordListing& read) {
    return this->Await<ApplyOutcome>(
        [&](auto handler) { this->records->Apply(changed, read, handler); });
  }

  ApplyOutcome Apply(const std::vector<records::Record>& changed) {
    return this->Apply(changed, this->Read());
  }

  ApplyOutcome Retire(const records::RecordKey& key) {
    const RecordListing read = this->Read();
    return this->Await<ApplyOutcome>(
        [&](auto handler) { this->records->Retire({key}, read, handler); });
  }

  void Follow(records::RecordBook& book) {
    this->records->WatchFrom(
        book.Revision().number,
        [&](const records::ChangeSet& change_set) {
          EXPECT_EQ(book.ApplyChangeSet(change_set), records::ChangeResult::kApplied);
          ++this->change_sets;
        },
        [&](const records::Transfer& transfer) {
          EXPECT_TRUE(book.MergeTransfer(transfer));
          ++this->transfers;
        });
  }

  std::unique_ptr<RecordStore> records =
      std::make_unique<RecordStore>(*this->store, this->timers, "test");
  int change_sets = 0;
  int transfers = 0;
};

TEST_F(RecordStoreTest, WritesRecordsAtOneRevisionAndSkipsUnchanged) {
  const ApplyOutcome first = this->Apply(Priorities({"low", "top"}, 1));
  ASSERT_EQ(first.kind, ApplyOutcomeKind::kCommitted);
  EXPECT_EQ(first.written.size(), 2U);
  const RecordListing read = this->Read();
  ASSERT_EQ(read.transfer.entries.size(), 2U);
  for (const auto& entry : read.transfer.entries) EXPECT_EQ(entry.revision, first.revision);
  const ApplyOutcome again = this->Apply(Priorities({"low", "top"}, 1));
  EXPECT_EQ(again.kind, ApplyOutcomeKind::kNothingToChange);
  EXPECT_EQ(again.revision, first.revision);
  EXPECT_EQ(this->standin->Calls("/v3/kv/txn"), 1);
}

TEST_F(RecordStoreTest, ConflictReportsCurrentEntries) {
  const RecordListing read = this->Read();
  const ApplyOutcome winner = this->Apply(Priorities({"low"}, 1), read);
  const ApplyOutcome loser = this->Apply(Priorities({"low", "top"}, 2), read);
  EXPECT_EQ(loser.kind, ApplyOutcomeKind::kConflict);
  ASSERT_EQ(loser.current_entries.size(), 1U);
  EXPECT_EQ(loser.current_entries[0].key, kLowKey);
  EXPECT_EQ(loser.current_entries[0].revision, winner.revision);
  EXPECT_NE(loser.current_entries[0].body.find("\"rank\":1"), std::string::npos);
  EXPECT_EQ(this->Read().transfer.entries.size(), 1U);
}

TEST_F(RecordStoreTest, ConflictsIfOtherRecordsChangedSinceRead) {
  const RecordListing read = this->Read();
  this->Apply(Priorities({"low"}, 1), read);
  const ApplyOutcome late = this->Apply(Priorities({"top"}, 2), read);
  EXPECT_EQ(late.kind, ApplyOutcomeKind::kConflict);
  EXPECT_TRUE(late.current_entries.empty());
}

TEST_F(RecordStoreTest, ReadsBackAfterLostAnswer) {
  const RecordListing read = this->Read();
  this->standin->SetFault({FaultMode::kLoseAnswers, {}, 1});
  const ApplyOutcome outcome = this->Apply(Priorities({"low"}, 1), read);
  EXPECT_EQ(outcome.kind, ApplyOutcomeKind::kCommitted);
  EXPECT_EQ(outcome.revision, this->Read().transfer.to_revision);
  EXPECT_EQ(this->standin->Calls("/v3/kv/txn"), 1);
}

TEST_F(RecordStoreTest, RepeatsWriteThatNeverArrived) {
  const RecordListing read = this->Read();
  this->standin->SetFault({FaultMode::kHang});
  std::optional<ApplyOutcome> outcome;
  this->records->Apply(Priorities({"low"}, 1), read,
                       [&](ApplyOutcome result) { outcome = std::move(result); });
  this->RunUntil([&] { return this->standin->Calls("/v3/kv/txn") == 1; });
  this->standin->SetFault({});
  this->RunUntil([&] { return outcome.has_value(); });
  EXPECT_EQ(outcome->kind, ApplyOutcomeKind::kCommitted);
  EXPECT_EQ(this->standin->Calls("/v3/kv/txn"), 2);
}

TEST_F(RecordStoreTest, RecognizesOwnWriteAfterOverwrite) {
  const RecordListing read = this->Read();
  this->standin->SetFault({FaultMode::kLoseAnswers, {}, 1});
  std::optional<ApplyOutcome> outcome;
  this->records->Apply(Priorities({"low"}, 1), read,
                       [&](ApplyOutcome result) { outcome = std::move(result); });
  this->RunUntil([&] { return this->standin->Calls("/v3/kv/txn") == 1; });
  EXPECT_EQ(this->Apply(Priorities({"low"}, 2)).kind, ApplyOutcomeKind::kCommitted);
  ASSERT_FALSE(outcome.has_value());
  this->RunUntil([&] { return outcome.has_value(); });
  EXPECT_EQ(outcome->kind, ApplyOutcomeKind::kCommitted);
}

TEST_F(RecordStoreTest, ReportsWhetherFailedWriteMayHaveTakenEffect) {
  const RecordListing read = this->Read();
  this->standin->SetFault({FaultMode::kDown});
  EXPECT_EQ(this->Apply(Priorities({"low"}, 1), read).kind, ApplyOutcomeKind::kNotApplied);
  this->standin->SetFault({FaultMode::kHang});
  EXPECT_EQ(this->Apply(Priorities({"low"}, 1), read).kind, ApplyOutcomeKind::kUnknown);
}

TEST_F(RecordStoreTest, RetiringWritesATombstone) {
  this->Apply(Priorities({"low"}, 1));
  EXPECT_EQ(this->Retire(kLowKey).kind, ApplyOutcomeKind::kCommitted);
  const RecordListing read = this->Read();
  ASSERT_EQ(read.transfer.entries.size(), 1U);
  EXPECT_TRUE(read.transfer.entries[0].retired);
  EXPECT_EQ(this->Retire(kLowKey).kind, ApplyOutcomeKind::kNothingToChange);
  EXPECT_EQ(this->Apply(Priorities({"low"}, 1)).kind, ApplyOutcomeKind::kCommitted);
}

TEST_F(RecordStoreTest, WatchKeepsRecordBookCurrent) {
  this->Apply(Priorities({"low"}, 1));
  records::RecordBook book;
  this->Follow(book);
  this->RunUntil([&] { return this->standin->Model().OpenWatches() == 1; });
  this->Put("/elsewhere", "x");
  const Revision last = this->Apply(Priorities({"low", "top"}, 2)).revision;
  this->RunUntil([&] { return book.Revision() == last; });
  EXPECT_EQ(book.Entries(), this->Read().transfer.entries);
  EXPECT_EQ(this->transfers, 1);
  EXPECT_EQ(this->change_sets, 1);
}

TEST_F(RecordStoreTest, WatchRecoversFromOutageAndSilence) {
  records::RecordBook book;
  this->Follow(book);
  const auto apply_and_wait = [&](const std::string& name, int rank) {
    const Revision last = this->Apply(Priorities({"low", name}, rank)).revision;
    this->RunUntil([&] { return book.Revision() == last; });
    EXPECT_EQ(book.Entries(), this->Read().transfer.entries);
  };
  for (int round = 0; round < 3; ++round) {
    const std::string name = "r" + std::to_string(round);
    apply_and_wait(name, 4 * round);
    this->standin->SetFault({FaultMode::kDown});
    EXPECT_FALSE(this->List("/").has_value());
    this->standin->SetFault({});
    apply_and_wait(name, 4 * round + 1);
    this->standin->SetFault({FaultMode::kHang});
    const int lists = this->standin->Calls("/v3/kv/range");
    this->RunUntil([&] { return this->standin->Calls("/v3/kv/range") > lists; });
    this->standin->SetFault({});
    apply_and_wait(name, 4 * round + 2);
  }
}

TEST_F(RecordStoreTest, WatchFromCompactedRevisionReadsAll) {
  this->MakeStandin({0, 2, std::chrono::milliseconds(100)});
  this->records = std::make_unique<RecordStore>(*this->store, this->timers, "test");
  this->Apply(Priorities({"low"}, 1));
  records::RecordBook book;
  book.MergeTransfer(this->Read().transfer);
  for (int i = 2; i < 7; ++i) this->Apply(Priorities({"low"}, i));
  this->Follow(book);
  this->RunUntil([&] { return this->transfers == 1; });
  EXPECT_EQ(book.Entries(), this->Read().transfer.entries);
  EXPECT_EQ(this->change_sets, 0);
}

TEST_F(RecordStoreTest, WatchAndReadAgreeOnUnreadableValues) {
  records::RecordBook watching;
  this->Follow(watching);
  this->RunUntil([&] { return this->standin->Model().OpenWatches() == 1; });
  this->Put("/fireflyrun/test/records/not-a-key", "x");
  const Revision last = this->Put("/fireflyrun/test/records/priority/low/v1", "not an envelope");
  this->RunUntil([&] { return watching.Revision() == last; });
  const RecordListing read = this->Read();
  EXPECT_EQ(watching.Entries(), read.transfer.entries);
  EXPECT_EQ(read.problems.size(), 2U);
}

}  // namespace
}  // namespace fireflyrun::store
