#include <gtest/gtest.h>

#include <algorithm>

#include "tests/membership/test_fleet.h"

namespace fireflyrun::membership {
namespace {

using std::chrono::milliseconds;

/// Counts how often each node held a node for unreachable that `is_fair` does not name.
class UnfairVerdicts {
 public:
  UnfairVerdicts(TestFleet& fleet, std::string fair) {
    for (auto& [name, node] : fleet.Nodes()) {
      node->membership->Subscribe([this, fair](ViewChange change, const MemberState& state) {
        const bool is_verdict =
            change == ViewChange::kReachability && state.reachability == Reachability::kUnreachable;
        if (is_verdict && state.member.node != fair) ++this->count;
      });
    }
  }
  int Count() const { return this->count; }

 private:
  int count = 0;
};

/// The sum of the versions of all nodes but `except`; it rises when one of them refutes.
std::uint64_t SumOfVersions(TestFleet& fleet, const std::string& except) {
  std::uint64_t sum = 0;
  for (const auto& [name, node] : fleet.Nodes()) {
    if (name != except) sum += node->membership->GetView().Self().version;
  }
  return sum;
}

TEST(Reachability, ADeadNodeIsUnreachableInItsZoneAndBeyondButKept) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  UnfairVerdicts unfair(fleet, "a-3");
  fleet.Kill("a-3");
  EXPECT_TRUE(fleet.RunUntil([&] {
    return fleet.All(
        [](const TestNode& node) { return node.BeliefOf("a-3") == Reachability::kUnreachable; });
  }));
  EXPECT_EQ(fleet["b-1"].membership->GetView().CountPresent("a"), 6U);
  EXPECT_EQ(unfair.Count(), 0);
}

TEST(Reachability, AZoneCutOffIsUnreachableAsAWholeAndHeals) {
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
        return node.BeliefOf(other.self.node) == expected;
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

TEST(Reachability, APausedNodeComesBackAndAccusesNobody) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  UnfairVerdicts unfair(fleet, "a-2");
  fleet["a-2"].paused = true;
  ASSERT_TRUE(fleet.RunUntil([&] {
    return fleet.All([](const TestNode& node) {
      return node.self.node == "a-2" || node.BeliefOf("a-2") == Reachability::kUnreachable;
    });
  }));
  fleet["a-2"].paused = false;
  EXPECT_TRUE(fleet.RunUntilConverged());
  fleet.RunFor(milliseconds(400));
  EXPECT_TRUE(fleet.IsConverged());
  EXPECT_EQ(unfair.Count(), 0);
}

TEST(Reachability, ANodeCutOffAloneAccusesNobodyWhenItReturns) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  fleet.is_cut = [](const TestNode& from, const TestNode& to) {
    return from.self.node == "a-2" || to.self.node == "a-2";
  };
  ASSERT_TRUE(fleet.RunUntil([&] {
    return fleet.All([](const TestNode& node) {
      return node.self.node == "a-2" || node.BeliefOf("a-2") == Reachability::kUnreachable;
    });
  }));
  const std::uint64_t versions = SumOfVersions(fleet, "a-2");
  fleet.is_cut = nullptr;
  EXPECT_TRUE(fleet.RunUntilConverged());
  fleet.RunFor(milliseconds(300));
  EXPECT_EQ(SumOfVersions(fleet, "a-2"), versions);
}

TEST(Reachability, ANodeThatReturnsBetweenItsPingAndTheVerdictAccusesNobody) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  const std::uint64_t versions = SumOfVersions(fleet, "a-2");
  fleet.is_cut = [](const TestNode& from, const TestNode& to) {
    return from.self.node == "a-2" || to.self.node == "a-2";
  };
  ASSERT_TRUE(fleet.RunUntil([&] {
    return !fleet.All([&](const TestNode& node) {
      return fleet["a-2"].BeliefOf(node.self.node) == Reachability::kReachable;
    });
  }));
  // Its next ping and the questions to helpers are lost, too; the one after is answered first.
  fleet.RunFor(fleet.options.ack_timeout);
  fleet.is_cut = nullptr;
  EXPECT_TRUE(fleet.RunUntilConverged());
  fleet.RunFor(milliseconds(300));
  EXPECT_EQ(SumOfVersions(fleet, "a-2"), versions);
}

TEST(Reachability, OneBrokenDirectionBetweenTwoNodesIsNoVerdict) {
  TestFleet fleet;
  fleet.StartZones({"a"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  UnfairVerdicts unfair(fleet, "");
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
  EXPECT_EQ(unfair.Count(), 0);
  EXPECT_GT(fleet["a-1"].membership->Counters().parts_sent.at("ping_request"), 0U);
}

TEST(Reachability, ANodeThatCanSendButNotHearIsUnreachable) {
  TestFleet fleet;
  fleet.StartZones({"a"}, 6);
  ASSERT_TRUE(fleet.RunUntilConverged());
  fleet.is_cut = [](const TestNode&, const TestNode& to) { return to.self.node == "a-4"; };
  EXPECT_TRUE(fleet.RunUntil([&] {
    return fleet.All([](const TestNode& node) {
      return node.self.node == "a-4" || node.BeliefOf("a-4") == Reachability::kUnreachable;
    });
  }));
  fleet.is_cut = nullptr;
  EXPECT_TRUE(fleet.RunUntilConverged());
}

TEST(Reachability, OneDelegateCutFromAZoneDoesNotCutItForTheOthers) {
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
    const bool agreed =
        fleet.RunUntil([&] { return fleet["a-0"].BeliefOf("b-1") == Reachability::kReachable; },
                       milliseconds(500));
    cut_for_long += agreed ? 0 : 1;
  }
  EXPECT_EQ(cut_for_long, 0);
  EXPECT_EQ(fleet["a-0"].membership->GetView().CountPresent("b"), 6U);
}

}  // namespace
}  // namespace fireflyrun::membership
