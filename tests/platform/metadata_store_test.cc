#include "platform/metadata_store.h"

#include "tests/platform/platform_fixture.h"

namespace fireflyrun::platform {
namespace {

using store::StoreErrorKind;

class MetadataStoreTest : public PlatformFixture {
 protected:
  struct WatchLog {
    std::vector<store::Revision> revisions;
    std::vector<store::StoreError> ends;
  };

  std::shared_ptr<WatchLog> Watch(const std::string& prefix, store::Revision first_revision) {
    auto log = std::make_shared<WatchLog>();
    this->last_watch = this->store->Watch(
        prefix, first_revision,
        [log](const store::ChangeBatch& batch) { log->revisions.push_back(batch.revision); },
        [log](store::StoreError error) { log->ends.push_back(std::move(error)); });
    return log;
  }

  void AwaitOpenWatch() {
    this->RunUntil([&] { return this->standin.OpenWatches() == 1; });
  }

  StoreErrorKind CommitError(const store::Transaction& transaction) {
    const auto result = this->Commit(transaction);
    EXPECT_FALSE(result.has_value());
    return result ? StoreErrorKind::kCompacted : result.error().kind;
  }

  store::Store::WatchId last_watch = 0;
};

TEST_F(MetadataStoreTest, CommitsTransactionOverSeveralKeys) {
  const std::string nul_byte(1, '\0');
  const auto first = this->Commit({{{"/a/1", 0}}, {{"/a/1", nul_byte, 0}, {"/a/2 &=%", "y", 0}}});
  ASSERT_TRUE(first && first->committed);
  const auto second = this->Commit({{{"/a/1", first->revision}, {"/a/3", 7}}, {{"/a/1", "z", 0}}});
  ASSERT_TRUE(second.has_value());
  EXPECT_FALSE(second->committed);
  ASSERT_EQ(second->current_values.size(), 1U);
  EXPECT_EQ(second->current_values[0].value, nul_byte);
  EXPECT_EQ(this->List("/a/2 &=%")->entries.size(), 1U);
}

TEST_F(MetadataStoreTest, ListingHasLowestRevisionOfItsPages) {
  for (const char* key : {"/a/1", "/a/2", "/a/3", "/a/4", "/a/5", "/b"}) {
    this->standin.Put(key, key);
  }
  const store::Revision before = this->standin.Model().Revision();
  bool done = false;
  this->store->List("/a/", [&](const auto& listing) {
    done = true;
    ASSERT_TRUE(listing.has_value());
    EXPECT_EQ(listing->entries.size(), 5U);
    EXPECT_EQ(listing->revision, before);
  });
  this->RunUntil([&] { return this->standin.Calls("/kv-range") == 1; });
  this->standin.Put("/a/0", "written after the first page was read");
  this->standin.SetFault({Mode::kBusy, {}, 1});
  this->RunUntil([&] { return done; });
  EXPECT_EQ(this->standin.Calls("/kv-range"), 4);
}

TEST_F(MetadataStoreTest, ErrorKindTellsWhetherFailedWriteMayHaveRun) {
  const store::Transaction write{{{"/k", 0}}, {{"/k", "v", 0}}};
  this->standin.SetFault({Mode::kDown});
  EXPECT_EQ(this->CommitError(write), StoreErrorKind::kNotSent);
  EXPECT_EQ(this->List("/k").error().kind, StoreErrorKind::kNotSent);
  for (const Mode mode : {Mode::kBusy, Mode::kThrottled}) {
    this->standin.SetFault({mode});
    EXPECT_EQ(this->CommitError(write), StoreErrorKind::kNotNow);
    EXPECT_EQ(this->List("/k").error().kind, StoreErrorKind::kNotNow);
  }
  for (const Mode mode : {Mode::kReset, Mode::kSilent}) {
    this->standin.SetFault({mode});
    EXPECT_EQ(this->CommitError(write), StoreErrorKind::kUnknown);
  }
  this->standin.SetFault({Mode::kLoseAnswers, std::chrono::milliseconds(600), 1});
  EXPECT_EQ(this->CommitError(write), StoreErrorKind::kUnknown);
  EXPECT_TRUE(this->List("/k")->entries.empty());
  this->RunUntil([&] { return !this->standin.Model().Range("/k", "").body["items"].empty(); });
  this->standin.SetFault({Mode::kLoseAnswers, {}, 1});
  EXPECT_EQ(this->CommitError({{}, {{"/k2", "v", 0}}}), StoreErrorKind::kUnknown);
  EXPECT_EQ(this->List("/k")->entries.size(), 2U);
  EXPECT_EQ(this->standin.Calls("/kv-txn"), 6) << "the adapter must not retry a write";
}

TEST_F(MetadataStoreTest, ReportsInvalidWritesAsRejected) {
  for (const std::string& key : {std::string("op/config"), std::string(201, 'k'), std::string()}) {
    EXPECT_EQ(this->CommitError({{}, {{key, "v", 0}}}), StoreErrorKind::kRejected);
  }
  EXPECT_EQ(this->CommitError({std::vector<store::Condition>(33, {"/a", 0}), {}}),
            StoreErrorKind::kRejected);
  EXPECT_EQ(this->standin.Calls("/kv-txn"), 0);
  EXPECT_EQ(this->CommitError({{}, {{"/a", "v", 999}}}), StoreErrorKind::kRejected);
}

TEST_F(MetadataStoreTest, KeepsLeasesUntilExpiryOrRevocation) {
  const auto grant = [&] {
    return this->Await<store::LeaseId>(
        [&](auto handler) { this->store->GrantLease(std::chrono::seconds(1), handler); });
  };
  const auto keep = [&](store::LeaseId lease) {
    return this->Await<std::chrono::seconds>(
        [&](auto handler) { this->store->KeepLeaseAlive(lease, handler); });
  };
  const auto revoke = [&](store::LeaseId lease) {
    return this->Await<store::LeaseId>(
        [&](auto handler) { this->store->RevokeLease(lease, handler); });
  };
  const auto lapsing = grant();
  ASSERT_TRUE(lapsing.has_value());
  ASSERT_TRUE(this->Commit({{}, {{"/a", "1", *lapsing}}}).has_value());
  const auto log = this->Watch("/a", 0);
  EXPECT_EQ(keep(*lapsing)->count(), 1);
  this->RunUntil([&] { return !log->revisions.empty(); });
  EXPECT_TRUE(this->List("/a")->entries.empty());
  EXPECT_EQ(keep(*lapsing).error().kind, StoreErrorKind::kRejected);
  const auto ended = grant();
  EXPECT_TRUE(revoke(*ended).has_value());
  EXPECT_TRUE(revoke(*ended).has_value()) << "revoking an ended lease succeeds";
  EXPECT_EQ(keep(*ended).error().kind, StoreErrorKind::kRejected);
}

TEST_F(MetadataStoreTest, WatchReportsEachRevisionOnceDespiteFaults) {
  const store::Revision first = this->Commit({{}, {{"/a/1", "1", 0}, {"/a/2", "1", 0}}})->revision;
  const auto log = this->Watch("/a/", first);
  std::vector<store::Revision> expected{first};
  const auto put_and_expect = [&] {
    expected.push_back(this->standin.Put("/a/1", "x"));
    this->RunUntil([&] { return log->revisions.size() == expected.size(); });
    EXPECT_EQ(log->revisions, expected);
  };
  put_and_expect();
  this->AwaitOpenWatch();
  this->standin.CutWatches();
  put_and_expect();
  for (const Mode mode : {Mode::kDown, Mode::kReset, Mode::kBusy, Mode::kThrottled, Mode::kSlow,
                          Mode::kLoseAnswers, Mode::kSilent}) {
    this->AwaitOpenWatch();
    const int calls = this->standin.Calls("/kv-watch");
    this->standin.SetFault({mode, std::chrono::milliseconds(50)});
    this->standin.CutWatches();
    if (mode == Mode::kDown) {
      EXPECT_FALSE(this->List("/a/").has_value());
    } else {
      this->RunUntil([&] { return this->standin.Calls("/kv-watch") > calls; });
    }
    this->standin.SetFault({});
    put_and_expect();
  }
  EXPECT_TRUE(log->ends.empty());
}

TEST_F(MetadataStoreTest, WatchRecoversFromPollWithoutResponse) {
  const auto log = this->Watch("/a/", this->standin.Model().Revision() + 1);
  this->AwaitOpenWatch();
  this->standin.SetFault({Mode::kSilent});
  this->standin.SetFault({});
  const store::Revision revision = this->standin.Put("/a/1", "reported on a dead connection");
  this->RunUntil([&] { return !log->revisions.empty(); });
  EXPECT_EQ(log->revisions, std::vector{revision});
}

TEST_F(MetadataStoreTest, WatchEndsAfterCompactionOrPersistentOutage) {
  const store::Revision old = this->standin.Model().Revision();
  this->standin.Put("/a", "1");
  this->standin.Model().DropHistory();
  const auto outdated = this->Watch("/a", old);
  this->RunUntil([&] { return !outdated->ends.empty(); });
  EXPECT_EQ(outdated->ends[0].kind, StoreErrorKind::kCompacted);
  const auto next = this->Watch("/a", 0);
  this->AwaitOpenWatch();
  this->standin.SetFault({Mode::kDown});
  this->RunUntil([&] { return !next->ends.empty(); });
  EXPECT_EQ(next->ends[0].kind, StoreErrorKind::kNotSent);
  EXPECT_EQ(next->ends.size(), 1U);
}

TEST_F(MetadataStoreTest, CanceledWatchRunsNoHooks) {
  const auto log = this->Watch("/a", 0);
  this->AwaitOpenWatch();
  this->store->CancelWatch(this->last_watch);
  this->RunUntil([&] { return this->standin.OpenWatches() == 0; });
  const auto destroyed = this->Watch("/a", 0);
  this->store.reset();
  this->standin.Put("/a", "1");
  this->loop.run_for(std::chrono::milliseconds(50));
  EXPECT_TRUE(log->ends.empty() && log->revisions.empty() && destroyed->ends.empty());
}

}  // namespace
}  // namespace fireflyrun::platform
