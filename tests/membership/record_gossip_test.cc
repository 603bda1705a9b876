#include "membership/record_gossip.h"

#include <gtest/gtest.h>

#include "tests/membership/test_fleet.h"

namespace fireflyrun::membership {
namespace {

/// Applies a change set at a node and publishes it, as its store watch would.
void Change(TestNode& node, std::uint64_t revision, const std::string& body,
            bool is_whole = false) {
  if (is_whole) node.book.clear();
  pb::ChangeSet change_set;
  change_set.set_previous_revision(node.Revision());
  change_set.set_revision(revision);
  pb::RecordEntry& entry = *change_set.add_entries();
  entry.set_revision(revision);
  entry.set_body(body);
  node.book[revision] = body;
  node.membership->PublishChangeSet(change_set.SerializeAsString());
}

TestNode& DelegateIn(TestFleet& fleet, const std::string& zone) {
  for (auto& [name, node] : fleet.Nodes()) {
    if (node->self.zone == zone && node->membership->ShouldWatchStore()) return *node;
  }
  throw std::runtime_error("no delegate in " + zone);
}

bool HaveBook(const TestFleet& fleet, const std::map<std::uint64_t, std::string>& book) {
  return fleet.All([&book](const TestNode& node) { return node.book == book; });
}

TEST(RecordGossip, ChangesReachAllNodesInOrderDespiteMessageLoss) {
  TestFleet fleet;
  fleet.StartZones({"a", "b", "c"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  fleet.loss = 0.2;
  TestNode& watcher = DelegateIn(fleet, "a");
  for (const std::uint64_t revision : {3, 7, 8}) {
    Change(watcher, revision, "body " + std::to_string(revision));
  }
  const auto book = watcher.book;
  EXPECT_TRUE(fleet.RunUntil([&] { return HaveBook(fleet, book); }));
}

/// Guards against books of one number that differ, of which no node asks another for the newer one.
TEST(RecordGossip, BooksOfOneNumberAreOrderedByTheRestOfTheirRevisions) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 3);
  ASSERT_TRUE(fleet.RunUntilConverged());
  for (auto& [name, node] : fleet.Nodes()) {
    node->book = {{8, "old"}};
    node->rest = ".1";
  }
  TestNode& newest = fleet["b-2"];
  newest.book = {{8, "new"}};
  newest.rest = ".2";
  // Each transfer of the stand-in holds what is newer than the number; a whole book would be sent.
  EXPECT_TRUE(fleet.RunUntil(
      [&] { return fleet.All([&](const TestNode& node) { return node.rest == ".2"; }); }));
}

/// Guards against nodes that renew leases of an earlier generation until their own next call tells.
TEST(RecordGossip, StoreGenerationThatOneNodeKnowsReachesAll) {
  TestFleet fleet;
  fleet.StartZones({"a", "b", "c"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  for (const std::uint64_t generation : {3, 4}) {
    fleet["b-2"].store_generation = generation;
    EXPECT_TRUE(fleet.RunUntil([&] {
      return fleet.All([&](const TestNode& node) { return node.store_generation == generation; });
    }));
  }
}

TEST(RecordGossip, PushReachesAllNodesBeforeAnyExchange) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  std::size_t requests = 0;
  TestNode& watcher = DelegateIn(fleet, "a");
  Change(watcher, 1, "one");
  const auto book = watcher.book;
  ASSERT_TRUE(fleet.RunUntil([&] { return HaveBook(fleet, book); }));
  for (const auto& [name, node] : fleet.Nodes()) {
    requests += node->membership->Counters().parts_received.count("change_set");
  }
  EXPECT_GE(requests, 6U);
}

TEST(RecordGossip, WholeBookReplacesAnyOlderOneWithoutARequest) {
  TestFleet fleet;
  fleet.options.exchange_period = std::chrono::hours(1);
  TestNode& behind = fleet.Start("a-0", "a");
  TestNode& ahead = fleet.Start("a-1", "a");
  ASSERT_TRUE(fleet.RunUntilConverged());
  behind.book[1] = "what the newer book lacks";
  Change(ahead, 9, "nine", true);
  EXPECT_TRUE(fleet.RunUntil([&] { return behind.book == ahead.book; }));
  EXPECT_EQ(ahead.membership->Counters().parts_received.count("record_request"), 0U);
}

TEST(RecordGossip, NewNodeReceivesATransferInManyChunks) {
  TestFleet fleet;
  fleet.StartZones({"a"}, 4);
  ASSERT_TRUE(fleet.RunUntilConverged());
  TestNode& watcher = DelegateIn(fleet, "a");
  for (std::uint64_t revision = 1; revision <= 20; ++revision) {
    Change(watcher, revision, std::string(5'000, 'b'));
  }
  const auto book = watcher.book;
  ASSERT_TRUE(fleet.RunUntil([&] { return HaveBook(fleet, book); }));
  TestNode& newcomer = fleet.Start("a-new", "a");
  EXPECT_TRUE(fleet.RunUntil([&] { return HaveBook(fleet, book); }));
  EXPECT_GE(newcomer.membership->Counters().parts_received.at("transfer_chunk"), 4U);
}

TEST(RecordGossip, NodeThatMissedAPushCatchesUpThroughItsOwnExchange) {
  TestFleet fleet;
  TestNode& lagging = fleet.Start("a-0", "a");
  fleet.options.exchange_period = std::chrono::hours(1);
  TestNode& ahead = fleet.Start("a-1", "a");
  ASSERT_TRUE(fleet.RunUntilConverged());
  ahead.book[1] = "never pushed, and its holder begins no exchange";
  EXPECT_TRUE(fleet.RunUntil([&] { return lagging.book == ahead.book; }));
}

TEST(RecordGossip, ChangeSetTooLargeToPushIsFetched) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 4);
  ASSERT_TRUE(fleet.RunUntilConverged());
  TestNode& watcher = DelegateIn(fleet, "b");
  Change(watcher, 1, std::string(90'000, 'b'));
  const auto book = watcher.book;
  EXPECT_TRUE(fleet.RunUntil([&] { return HaveBook(fleet, book); }));
}

}  // namespace
}  // namespace fireflyrun::membership
