#include "membership/membership.h"

#include <gtest/gtest.h>

#include "membership/control.pb.h"
#include "membership/delegates.h"
#include "tests/membership/test_fleet.h"

namespace fireflyrun::membership {
namespace {

TEST(Membership, OneContactIsEnoughToDiscoverTheFleet) {
  TestFleet fleet;
  fleet.StartZones({"a", "b", "c"}, 8);
  ASSERT_TRUE(fleet.RunUntilConverged());
  EXPECT_TRUE(fleet["c-7"].membership->HasJoined());
  std::size_t delegates = 0;
  for (const auto& [name, node] : fleet.Nodes()) {
    delegates += node->membership->ShouldWatchStore() ? 1 : 0;
  }
  EXPECT_EQ(delegates, 3 * kDelegatesPerZone);
}

TEST(Membership, NewNodeReceivesItsViewFromManyPeers) {
  TestFleet fleet;
  fleet.options.neighbor_period = std::chrono::hours(1);
  fleet.StartZones({"a", "b", "c", "d"}, 24);
  ASSERT_TRUE(fleet.RunUntilConverged());
  std::map<std::string, std::uint64_t> before;
  for (const auto& [name, node] : fleet.Nodes()) {
    before[name] = node->membership->Counters().parts_sent.at("member");
  }
  fleet.Start("a-new", "a");
  ASSERT_TRUE(fleet.RunUntilConverged());
  std::size_t helpers = 0;
  for (const auto& [name, sent] : before) {
    helpers += fleet[name].membership->Counters().parts_sent.at("member") >= sent + 15 ? 1 : 0;
  }
  EXPECT_GE(helpers, 2U);
}

TEST(Membership, SimultaneousStartThroughOneBusyContactConverges) {
  TestFleet fleet;
  fleet.options.burst_bytes = 4'000;
  fleet.options.max_queued_bytes = 16'000;
  fleet.StartZones({"a", "b", "c"}, 20);
  ASSERT_TRUE(fleet.RunUntilConverged());
  EXPECT_GT(fleet["a-0"].membership->Counters().parts_received.at("join"), 50U);
}

/// More than a node asks another zone for at once, and no node of its own zone holds them.
TEST(Membership, ZoneLearnsOfManyHostsThatStartedWhileItWasCutOff) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 3);
  ASSERT_TRUE(fleet.RunUntilConverged());
  fleet.is_cut = [](const TestNode& from, const TestNode& to) {
    return from.self.zone != to.self.zone;
  };
  constexpr int kStarted = 30;
  for (int i = 0; i < kStarted; ++i) fleet.Start("a-new-" + std::to_string(i), "a");
  EXPECT_TRUE(fleet.RunUntil(
      [&] { return fleet["a-0"].membership->GetView().CountPresent("a") == 3 + kStarted; }));
  fleet.RunFor(std::chrono::milliseconds(200));
  fleet.is_cut = nullptr;
  EXPECT_TRUE(fleet.RunUntilConverged());
}

TEST(Membership, AnnouncementReachesAllNodesDespiteMessageLoss) {
  TestFleet fleet;
  fleet.StartZones({"a", "b", "c"}, 8);
  ASSERT_TRUE(fleet.RunUntilConverged());
  fleet.loss = 0.2;
  fleet["b-3"].membership->AnnounceTarget("calendar", 7);
  EXPECT_TRUE(fleet.RunUntil([&] {
    return fleet.All([](const TestNode& node) {
      const auto found = node.membership->GetView().Candidates("calendar");
      return found.size() == 1 && found[0]->member.slots == 7;
    });
  }));
}

TEST(Membership, LeaveReachesAllNodesAndLateEntryDoesNotReviveMember) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 8);
  ASSERT_TRUE(fleet.RunUntilConverged());
  bool left = false;
  fleet["a-5"].membership->Leave([&] { left = true; });
  EXPECT_FALSE(left);
  ASSERT_TRUE(fleet.RunUntil([&] { return left; }));
  const Member late_copy = fleet["a-5"].self;
  fleet.Kill("a-5");
  const auto has_left = [&] {
    return fleet.All([](const TestNode& node) {
      return node.Find("a-5")->member.stopped && node.membership->GetView().CountPresent() == 15;
    });
  };
  ASSERT_TRUE(fleet.RunUntil(has_left));

  pb::Envelope envelope;
  envelope.set_cluster("test");
  envelope.set_node("a-4");
  envelope.set_zone("a");
  envelope.set_address(fleet["a-4"].address);
  pb::MemberEntry& entry = *envelope.add_parts()->mutable_member();
  entry.set_node(late_copy.node);
  entry.set_incarnation(late_copy.incarnation);
  entry.set_version(late_copy.version);
  entry.set_zone(late_copy.zone);
  entry.set_ip(late_copy.ip);
  fleet["a-0"].membership->OnMessage(envelope.SerializeAsString());
  fleet.RunFor(std::chrono::milliseconds(100));
  EXPECT_TRUE(has_left());
}

TEST(Membership, RollingRestartLeavesOnlyNewIncarnations) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 8);
  ASSERT_TRUE(fleet.RunUntilConverged());
  for (int i = 1; i < 8; ++i) {
    fleet.Start("a-" + std::to_string(i), "a", 2);
    fleet.Start("b-" + std::to_string(i), "b", 2);
    fleet.RunFor(std::chrono::milliseconds(20));
  }
  EXPECT_TRUE(fleet.RunUntilConverged());
  EXPECT_TRUE(fleet.All([](const TestNode& node) { return node.membership->Problems().empty(); }));
}

/// The incarnation comes from the host's clock, which may have gone back between two runs.
TEST(Membership, RestartAfterTheClockWentBackReplacesTheEndedRun) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 3);
  ASSERT_TRUE(fleet.RunUntilConverged());
  for (const std::uint64_t incarnation : {9, 5, 7}) {
    fleet.Start("a-1", "a", incarnation);
    EXPECT_TRUE(fleet.RunUntilConverged()) << incarnation;
  }
  EXPECT_TRUE(fleet.All([](const TestNode& node) { return node.membership->Problems().empty(); }));
}

TEST(Membership, UpdatesCrossZonesWhileDelegatesFailOneByOne) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 8);
  ASSERT_TRUE(fleet.RunUntilConverged());
  for (std::uint32_t round = 1; round <= 3; ++round) {
    const View& view = fleet["a-0"].membership->GetView();
    std::string first;
    for (const MemberState* state : RankDelegates(view, "b", 8)) {
      if (state->member.node != "b-0" && first.empty()) first = state->member.node;
    }
    fleet.Kill(first);
    fleet["b-0"].membership->SetTicketWindow(round);
    EXPECT_TRUE(fleet.RunUntil([&] {
      return fleet.All(
          [&](const TestNode& node) { return node.Find("b-0")->member.ticket_window == round; });
    })) << round;
  }
}

TEST(Membership, ReportsTwoNodesWithOneName) {
  TestFleet fleet;
  fleet.StartZones({"a"}, 4);
  ASSERT_TRUE(fleet.RunUntilConverged());
  TestNode& duplicate = fleet.Start("x", "a", 9);
  ASSERT_TRUE(fleet.RunUntilConverged());
  pb::Envelope envelope;
  envelope.set_cluster("test");
  envelope.set_node("a-1");
  envelope.set_zone("a");
  envelope.set_address(duplicate.address);
  fleet["a-1"].membership->OnMessage(envelope.SerializeAsString());
  ASSERT_EQ(fleet["a-1"].membership->Problems().size(), 1U);
  EXPECT_EQ(fleet["a-1"].membership->Problems()[0].place, "a-1");

  pb::MemberEntry& entry = *envelope.add_parts()->mutable_member();
  envelope.set_node("x");
  entry.set_node("a-2");
  entry.set_incarnation(7);
  entry.set_zone("a");
  entry.set_ip("127.0.0.9");
  fleet["a-0"].membership->OnMessage(envelope.SerializeAsString());
  EXPECT_TRUE(fleet.RunUntil([&] { return !fleet["a-2"].membership->Problems().empty(); }));
  EXPECT_EQ(fleet["a-2"].membership->GetView().Self().incarnation, 1U);
}

TEST(Membership, DropsAndReportsMessagesOfOtherClusters) {
  TestFleet fleet;
  fleet.StartZones({"a"}, 3);
  ASSERT_TRUE(fleet.RunUntilConverged());
  fleet.Start("other", "a", 1, "another");
  ASSERT_TRUE(fleet.RunUntil([&] { return !fleet["a-0"].membership->Problems().empty(); }));
  EXPECT_EQ(fleet["a-0"].membership->Problems()[0].place, "other");
  EXPECT_GE(fleet["a-0"].membership->Counters().dropped_other_cluster, 1U);
  EXPECT_EQ(fleet["a-0"].Find("other"), nullptr);
  EXPECT_FALSE(fleet["other"].membership->HasJoined());
}

TEST(Membership, DropsMalformedMessages) {
  TestFleet fleet;
  TestNode& node = fleet.Start("a-0", "a");
  node.membership->OnMessage("\xff\xff\xff");
  node.membership->OnMessage("");
  EXPECT_EQ(node.membership->Counters().dropped_malformed, 2U);
}

}  // namespace
}  // namespace fireflyrun::membership
