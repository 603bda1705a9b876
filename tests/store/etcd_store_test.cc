#include "store/etcd_store.h"

#include "tests/store/store_fixture.h"

namespace fireflyrun::store {
namespace {

class EtcdStoreTest : public StoreFixture {
 protected:
  struct WatchEvents {
    std::vector<ChangeBatch> batches;
    std::vector<StoreError> end_errors;
  };

  std::shared_ptr<WatchEvents> Watch(const std::string& prefix, Revision first_revision) {
    auto events = std::make_shared<WatchEvents>();
    this->store->Watch(
        prefix, first_revision,
        [events](ChangeBatch batch) { events->batches.push_back(std::move(batch)); },
        [events](StoreError error) { events->end_errors.push_back(std::move(error)); });
    return events;
  }

  int Calls(const std::string& path) const { return this->standin->Calls(path); }
};

TEST_F(EtcdStoreTest, ComparesAndSwapsSeveralKeysAtomically) {
  const auto first =
      this->Commit({{{"/a/1", 0}, {"/a/2", 0}}, {{"/a/1", "x", 0}, {"/a/2", "y", 0}}});
  ASSERT_TRUE(first && first->committed);
  const auto second =
      this->Commit({{{"/a/1", first->revision}, {"/a/2", 0}, {"/a/3", 0}}, {{"/a/1", "z", 0}}});
  ASSERT_TRUE(second.has_value());
  EXPECT_FALSE(second->committed);
  ASSERT_EQ(second->current_values.size(), 2U);
  EXPECT_EQ(second->current_values[1].value, "y");
  this->Put("/b", "other");
  const auto listing = this->List("/a/");
  ASSERT_TRUE(listing.has_value());
  ASSERT_EQ(listing->entries.size(), 2U);
  EXPECT_EQ(listing->entries[0].value, "x");
  EXPECT_EQ(listing->entries[0].revision, first->revision);
  EXPECT_GT(listing->revision, first->revision);
}

TEST_F(EtcdStoreTest, ReportsNotSentOnlyWithoutConnection) {
  this->standin->SetFault({FaultMode::kDown});
  EXPECT_EQ(this->Commit({{}, {{"/a", "1", 0}}}).error().kind, StoreErrorKind::kNotSent);
  this->standin->SetFault({FaultMode::kHang});
  EXPECT_EQ(this->Commit({{}, {{"/b", "1", 0}}}).error().kind, StoreErrorKind::kUnknown);
  this->standin->SetFault({FaultMode::kLoseAnswers});
  EXPECT_EQ(this->Commit({{}, {{"/c", "1", 0}}}).error().kind, StoreErrorKind::kUnknown);
  this->standin->SetFault({});
  const auto listing = this->List("/");
  ASSERT_TRUE(listing.has_value());
  ASSERT_EQ(listing->entries.size(), 1U);
  EXPECT_EQ(listing->entries[0].key, "/c");
}

TEST_F(EtcdStoreTest, ReportsRejectedWhenStoreRefuses) {
  const auto result = this->Commit({{}, {{"/a", "1", 999}}});
  ASSERT_FALSE(result.has_value());
  EXPECT_EQ(result.error().kind, StoreErrorKind::kRejected);
  EXPECT_NE(result.error().message.find("lease not found"), std::string::npos);
}

TEST_F(EtcdStoreTest, FailsOverToNextEndpoint) {
  standins::StoreStandinServer dead_server(this->loop, {});
  const std::string dead_address = "127.0.0.1:" + std::to_string(dead_server.Port());
  dead_server.SetFault({FaultMode::kDown});
  EtcdStoreOptions options;
  options.endpoints = {dead_address, "127.0.0.1:" + std::to_string(this->standin->Port())};
  this->MakeStore(options);
  const auto events = this->Watch("/a", 0);
  this->RunUntil([&] { return this->standin->Model().OpenWatches() == 1; });
  this->Put("/a", "1");
  this->RunUntil([&] { return events->batches.size() == 1; });
}

TEST_F(EtcdStoreTest, GrantsRenewsAndRevokesLeases) {
  const auto lease = this->Await<tl::expected<LeaseId, StoreError>>(
      [&](auto handler) { this->store->GrantLease(std::chrono::seconds(30), handler); });
  ASSERT_TRUE(lease.has_value());
  ASSERT_TRUE(this->Commit({{}, {{"/a", "1", *lease}}}).has_value());
  const auto keep_alive = [&] {
    return this->Await<tl::expected<std::chrono::seconds, StoreError>>(
        [&](auto handler) { this->store->KeepLeaseAlive(*lease, handler); });
  };
  EXPECT_EQ(keep_alive()->count(), 30);
  const auto revoked = this->Await<tl::expected<LeaseId, StoreError>>(
      [&](auto handler) { this->store->RevokeLease(*lease, handler); });
  EXPECT_TRUE(revoked.has_value());
  EXPECT_TRUE(this->List("/a")->entries.empty());
  EXPECT_EQ(keep_alive().error().kind, StoreErrorKind::kRejected);
}

TEST_F(EtcdStoreTest, WatchReportsEachTransactionOnce) {
  const Revision first = this->Commit({{}, {{"/a/1", "1", 0}, {"/a/2", "1", 0}}})->revision;
  this->Put("/b", "other");
  this->Commit({{}, {{"/a/1", "2", 0}, {"/a/3", "2", 0}}});
  const auto events = this->Watch("/a/", first);
  this->RunUntil([&] { return events->batches.size() == 2; });
  this->Put("/a/4", "live");
  this->RunUntil([&] { return events->batches.size() == 3; });
  EXPECT_EQ(events->batches[0].changes.size(), 2U);
  EXPECT_EQ(events->batches[1].revision, first + 2);
  EXPECT_EQ(events->batches[2].changes[0].value, "live");
}

TEST_F(EtcdStoreTest, WatchOfCompactedRevisionReportsCompacted) {
  this->MakeStandin({0, 2, std::chrono::milliseconds(100)});
  for (int i = 0; i < 5; ++i) this->Put("/a", std::to_string(i));
  const auto events = this->Watch("/a", 2);
  this->RunUntil([&] { return !events->end_errors.empty(); });
  EXPECT_EQ(events->end_errors[0].kind, StoreErrorKind::kCompacted);
}

TEST_F(EtcdStoreTest, ReopensSilentWatchWithoutLosingChanges) {
  this->MakeStandin({0, 1000, std::chrono::hours(1)});
  const auto events = this->Watch("/a", 0);
  this->RunUntil([&] { return this->standin->Model().OpenWatches() == 1; });
  const Revision first = this->Put("/a", "1");
  this->RunUntil([&] { return events->batches.size() == 1; });
  this->standin->SetFault({FaultMode::kHang});
  this->standin->SetFault({});
  this->Put("/a", "2");
  EXPECT_EQ(events->batches.size(), 1U);
  this->RunUntil([&] { return events->batches.size() == 2; });
  EXPECT_EQ(events->batches[1].revision, first + 1);
  EXPECT_TRUE(events->end_errors.empty());
  this->RunUntil([&] { return this->standin->Model().OpenWatches() == 1; });
}

TEST_F(EtcdStoreTest, ProgressNotificationsKeepIdleWatchOpen) {
  const auto events = this->Watch("/a", 0);
  this->MakeStandin({0, 1000, std::chrono::milliseconds(100)});
  const auto idle_events = this->Watch("/a", 0);
  const SteadyTime end = SteadyClock::now() + std::chrono::milliseconds(900);
  this->RunUntil([&] { return SteadyClock::now() > end; });
  EXPECT_EQ(this->Calls("/v3/watch"), 1);
  EXPECT_TRUE(idle_events->end_errors.empty());
  EXPECT_TRUE(events->end_errors.empty()) << "a hook of the destroyed store ran";
}

TEST_F(EtcdStoreTest, WatchEndsOnceWhenStoreIsDown) {
  const auto events = this->Watch("/a", 0);
  this->RunUntil([&] { return this->standin->Model().OpenWatches() == 1; });
  this->Put("/a", "1");
  this->RunUntil([&] { return events->batches.size() == 1; });
  this->standin->SetFault({FaultMode::kDown});
  this->RunUntil([&] { return !events->end_errors.empty(); });
  EXPECT_EQ(events->end_errors[0].kind, StoreErrorKind::kNotSent);
  EXPECT_EQ(this->List("/a").error().kind, StoreErrorKind::kNotSent);
  EXPECT_EQ(events->end_errors.size(), 1U);
}

TEST_F(EtcdStoreTest, CancelledWatchClosesStreamWithoutEndHook) {
  bool ended = false;
  const auto id = this->store->Watch(
      "/a", 0, [](const ChangeBatch&) {}, [&](const StoreError&) { ended = true; });
  this->RunUntil([&] { return this->standin->Model().OpenWatches() == 1; });
  this->store->CancelWatch(id);
  this->RunUntil([&] { return this->standin->Model().OpenWatches() == 0; });
  EXPECT_FALSE(ended);
}

}  // namespace
}  // namespace fireflyrun::store
