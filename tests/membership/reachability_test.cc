#include <gtest/gtest.h>

#include <algorithm>

#include "tests/membership/test_fleet.h"

namespace fireflyrun::membership {
namespace {

using std::chrono::milliseconds;

/// Counts how often any node considered a node other than `expected` unreachable.
class UnexpectedUnreachable {
 public:
  UnexpectedUnreachable(TestFleet& fleet, std::string expected) {
    for (auto& [name, node] : fleet.Nodes()) {
      node->membership->Subscribe([this, expected](ViewChange change, const MemberState& state) {
        const bool became_unreachable =
            change == ViewChange::kReachability && state.reachability == Reachability::kUnreachable;
        if (became_unreachable && state.member.node != expected) ++this->count;
      });
    }
  }
  int Count() const { return this->count; }

 private:
  int count = 0;
};

/// The sum of the versions of all nodes but `except`; it rises when one refutes an accusation.
std::uint64_t SumOfVersions(TestFleet& fleet, const std::string& except) {
  std::uint64_t sum = 0;
  for (const auto& [name, node] : fleet.Nodes()) {
    if (name != except) sum += node->membership->GetView().Self().version;
  }
  return sum;
}

TEST(Reachability, DeadNodeIsUnreachableInAllZonesButKept) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  UnexpectedUnreachable unexpected(fleet, "a-3");
  fleet.Kill("a-3");
  EXPECT_TRUE(fleet.RunUntil([&] {
    return fleet.All([](const TestNode& node) {
      return node.ReachabilityOf("a-3") == Reachability::kUnreachable;
    });
  }));
  EXPECT_EQ(fleet["b-1"].membership->GetView().CountPresent("a"), 6U);
  EXPECT_EQ(unexpected.Count(), 0);
}

TEST(Reachability, CutOffZoneIsUnreachableAsAWholeAndRecovers) {
  TestFleet fleet;
  fleet.StartZones({"a", "b", "c"}, 5);
  ASSERT_TRUE(fleet.RunUntilConverged());
  fleet.is_cut = [](const TestNode& from, const TestNode& to) {
    return (from.self.zone == "c") != (to.self.zone == "c");
  };
  ASSERT_TRUE(fleet.RunUntil([&] {
    return fleet.All([&](const TestNode& node) {
      const bool inside = node.self.zone == "c";
      return fleet.All([&](const TestNode& other) {
        const bool together = inside == (other.self.zone == "c");
        const Reachability expected =
            together ? Reachability::kReachable : Reachability::kUnreachable;
        return node.ReachabilityOf(other.self.node) == expected;
      });
    });
  }));
  EXPECT_TRUE(fleet.All(
      [](const TestNode& node) { return node.membership->GetView().CountPresent() == 15; }));
  fleet["c-1"].membership->AnnounceTarget("calendar", 3);
  fleet.is_cut = nullptr;
  ASSERT_TRUE(fleet.RunUntilConverged());
  EXPECT_TRUE(fleet.RunUntil(
      [&] { return fleet["a-1"].membership->GetView().Candidates("calendar").size() == 1; }));
}

TEST(Reachability, ResumedNodeRecoversAndAccusesNoOther) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  UnexpectedUnreachable unexpected(fleet, "a-2");
  fleet["a-2"].paused = true;
  ASSERT_TRUE(fleet.RunUntil([&] {
    return fleet.All([](const TestNode& node) {
      return node.self.node == "a-2" || node.ReachabilityOf("a-2") == Reachability::kUnreachable;
    });
  }));
  fleet["a-2"].paused = false;
  EXPECT_TRUE(fleet.RunUntilConverged());
  fleet.RunFor(milliseconds(400));
  EXPECT_TRUE(fleet.IsConverged());
  EXPECT_EQ(unexpected.Count(), 0);
}

TEST(Reachability, IsolatedNodeAccusesNoOtherAfterReconnecting) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  fleet.is_cut = [](const TestNode& from, const TestNode& to) {
    return from.self.node == "a-2" || to.self.node == "a-2";
  };
  ASSERT_TRUE(fleet.RunUntil([&] {
    return fleet.All([](const TestNode& node) {
      return node.self.node == "a-2" || node.ReachabilityOf("a-2") == Reachability::kUnreachable;
    });
  }));
  const std::uint64_t versions = SumOfVersions(fleet, "a-2");
  fleet.is_cut = nullptr;
  EXPECT_TRUE(fleet.RunUntilConverged());
  fleet.RunFor(milliseconds(300));
  EXPECT_EQ(SumOfVersions(fleet, "a-2"), versions);
}

TEST(Reachability, NodeReconnectingDuringAProbeAccusesNoOther) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  const std::uint64_t versions = SumOfVersions(fleet, "a-2");
  fleet.is_cut = [](const TestNode& from, const TestNode& to) {
    return from.self.node == "a-2" || to.self.node == "a-2";
  };
  ASSERT_TRUE(fleet.RunUntil([&] {
    return !fleet.All([&](const TestNode& node) {
      return fleet["a-2"].ReachabilityOf(node.self.node) == Reachability::kReachable;
    });
  }));
  // Its next ping and the ping requests to helpers are lost, too; the ping after that gets the
  // first ack.
  fleet.RunFor(fleet.options.ack_timeout);
  fleet.is_cut = nullptr;
  EXPECT_TRUE(fleet.RunUntilConverged());
  fleet.RunFor(milliseconds(300));
  EXPECT_EQ(SumOfVersions(fleet, "a-2"), versions);
}

TEST(Reachability, OneWayLossBetweenTwoNodesMakesNeitherUnreachable) {
  TestFleet fleet;
  fleet.StartZones({"a"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  UnexpectedUnreachable unexpected(fleet, "");
  std::size_t cut_messages = 0;
  fleet.is_cut = [&](const TestNode& from, const TestNode& to) {
    const bool is_cut = from.self.node == "a-1" && to.self.node == "a-2";
    cut_messages += is_cut ? 1 : 0;
    return is_cut;
  };
  for (int i = 0; i < 10; ++i) {
    fleet["a-1"].membership->ReportFailure("a-2");
    fleet.RunFor(milliseconds(100));
  }
  EXPECT_GE(cut_messages, 10U);
  EXPECT_EQ(unexpected.Count(), 0);
  EXPECT_GT(fleet["a-1"].membership->Counters().parts_sent.at("ping_request"), 0U);
}

TEST(Reachability, NodeThatCanSendButNotReceiveIsUnreachable) {
  TestFleet fleet;
  fleet.StartZones({"a"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  fleet.is_cut = [](const TestNode&, const TestNode& to) { return to.self.node == "a-4"; };
  EXPECT_TRUE(fleet.RunUntil([&] {
    return fleet.All([](const TestNode& node) {
      return node.self.node == "a-4" || node.ReachabilityOf("a-4") == Reachability::kUnreachable;
    });
  }));
  fleet.is_cut = nullptr;
  EXPECT_TRUE(fleet.RunUntilConverged());
}

TEST(Reachability, DelegateCutOffFromAZoneDoesNotCutItOffForOthers) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  std::string delegate;
  for (const auto& [name, node] : fleet.Nodes()) {
    if (node->self.zone == "a" && node->membership->ShouldWatchStore()) delegate = name;
  }
  fleet.is_cut = [delegate](const TestNode& from, const TestNode& to) {
    if (from.self.zone == to.self.zone) return false;
    return from.self.node == delegate || to.self.node == delegate;
  };
  int cut_for_long = 0;
  for (int i = 0; i < 20; ++i) {
    fleet.RunFor(milliseconds(50));
    const bool agreed = fleet.RunUntil(
        [&] { return fleet["a-0"].ReachabilityOf("b-1") == Reachability::kReachable; },
        milliseconds(500));
    cut_for_long += agreed ? 0 : 1;
  }
  EXPECT_EQ(cut_for_long, 0);
  EXPECT_EQ(fleet["a-0"].membership->GetView().CountPresent("b"), 6U);
}

}  // namespace
}  // namespace fireflyrun::membership
