#include "policy/target_chooser.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

#include "tests/policy/fake_target.h"

namespace fireflyrun::policy {
namespace {

class TargetChooserTest : public testing::Test {
 protected:
  static Candidate Make(const std::string& node, const std::string& zone,
                        const std::string& region = "erie") {
    return {.node = node,
            .incarnation = 1,
            .zone = zone,
            .region = region,
            .slots = 10,
            .first_seen = AtSeconds(-100)};
  }

  tl::expected<TargetChoice, RefusalReason> Choose(double at = 0) {
    return this->chooser.Choose(this->query, this->candidates, AtSeconds(at));
  }

  std::string ChosenNode(double at = 0) {
    const auto choice = this->Choose(at);
    if (choice) return choice->node;
    return std::string(kRefusalReasonNames.NameOf(choice.error()));
  }

  std::map<std::string, int> ChooseMany(int calls, double at = 0) {
    std::map<std::string, int> counts;
    for (int i = 0; i < calls; ++i) counts[this->ChosenNode(at)] += 1;
    return counts;
  }

  void Answer(const std::string& node, CallOutcome outcome, const ReportedLoad& load,
              const std::optional<PriorityKey>& level, double at = 0) {
    this->chooser.OnSent(node);
    this->chooser.OnAnswered("tills", node, outcome, std::chrono::milliseconds(5), load, level,
                             AtSeconds(at));
  }

  void AnswerAfter(const std::string& node, Duration latency) {
    this->chooser.OnSent(node);
    this->chooser.OnAnswered("tills", node, CallOutcome::kSucceeded, latency, {}, std::nullopt,
                             AtSeconds(0));
  }

  void Fail(const std::string& node, double at = 0) {
    for (int i = 0; i < 5; ++i) this->Answer(node, CallOutcome::kTimedOut, {}, std::nullopt, at);
  }

  void Refuse(const std::string& node) {
    this->Answer(node, CallOutcome::kRefused, {}, PriorityKey{0, 0});
  }

  std::mt19937_64 generator{1};
  std::uint64_t link_bytes = 1000;
  TargetChooser chooser{{.node = "me", .zone = "erie-a", .region = "erie"},
                        {[this](std::uint64_t bound) { return this->generator() % bound; },
                         [this](std::uint64_t bytes, SteadyTime) {
                           if (bytes > this->link_bytes) return false;
                           this->link_bytes -= bytes;
                           return true;
                         }}};
  TargetQuery query{.service = "tills", .key = {1, 0}, .bytes = 600};
  std::vector<Candidate> candidates{Make("a", "erie-a"), Make("b", "erie-b"),
                                    Make("m", "michigan-a", "michigan")};
};

TEST_F(TargetChooserTest, PrefersZoneThenRegionThenOtherRegionsWithinTheBudget) {
  EXPECT_EQ(this->ChosenNode(), "a");
  this->candidates[0].reachable = false;
  EXPECT_EQ(this->ChosenNode(), "b");
  this->candidates[1].leaving = true;
  EXPECT_EQ(this->ChosenNode(), "unreachable");
  this->query.call_class.may_leave_region = true;
  EXPECT_EQ(this->ChosenNode(), "m");
  EXPECT_EQ(this->Choose().error(), RefusalReason::kLinkBudget);
  this->candidates[0].slots = 0;
  this->candidates[2].slots = 0;
  EXPECT_EQ(this->ChosenNode(), "no-target");
}

TEST_F(TargetChooserTest, SpillsFromSaturatedTiersOutwardWithinTheBudget) {
  this->query.call_class.may_leave_region = true;
  this->ChosenNode();
  this->Answer("a", CallOutcome::kSucceeded, {.in_flight = 10, .limit = 10}, kOpenLevel);
  EXPECT_EQ(this->ChosenNode(), "b");
  this->Answer("b", CallOutcome::kSucceeded, {.in_flight = 10, .limit = 10}, kOpenLevel);
  EXPECT_EQ(this->ChosenNode(), "m");
  EXPECT_EQ(this->link_bytes, 400U);
  EXPECT_EQ(this->ChosenNode(), "a");
  EXPECT_EQ(this->link_bytes, 400U);
}

TEST_F(TargetChooserTest, RefusesWhenEveryPermittedTierRefusesTheKey) {
  this->ChosenNode();
  this->Refuse("a");
  EXPECT_EQ(this->ChosenNode(), "b");
  this->Refuse("b");
  EXPECT_EQ(this->ChosenNode(), "admission-level");
  this->query.key = {0, 0};
  EXPECT_EQ(this->ChosenNode(), "a");
  this->query.key = {1, 0};
  this->query.call_class.may_leave_region = true;
  EXPECT_EQ(this->ChosenNode(), "m");
}

TEST_F(TargetChooserTest, LeastRestrictiveLevelCountsOnlyTargetsThatMayTakeTheCall) {
  const auto least_restrictive = [&](double at = 0) {
    return this->chooser.LeastRestrictiveLevel(this->query, this->candidates, AtSeconds(at));
  };
  EXPECT_EQ(least_restrictive(), kOpenLevel);
  this->Choose();
  this->Answer("a", CallOutcome::kRefused, {}, PriorityKey{0, 7});
  // m is in a region that is not permitted, and b has not reported a level.
  EXPECT_EQ(least_restrictive(), kOpenLevel);
  this->candidates[1].leaving = true;
  EXPECT_EQ(least_restrictive(), (PriorityKey{0, 7}));
  this->candidates[1].leaving = false;
  this->candidates[1].reachable = false;
  EXPECT_EQ(least_restrictive(), (PriorityKey{0, 7}));
  this->candidates[1].reachable = true;
  this->Answer("b", CallOutcome::kRefused, {}, PriorityKey{1, 3});
  EXPECT_EQ(least_restrictive(), (PriorityKey{1, 3}));
  this->Fail("b");
  EXPECT_EQ(least_restrictive(), (PriorityKey{0, 7}));
  this->query.call_class.may_leave_region = true;
  EXPECT_EQ(least_restrictive(), kOpenLevel);
  this->candidates = {this->candidates[1]};
  this->candidates[0].leaving = true;
  EXPECT_EQ(least_restrictive(), kOpenLevel);
}

TEST_F(TargetChooserTest, SkipsExcludedNodes) {
  this->query.excluded = {"a", "b"};
  EXPECT_EQ(this->ChosenNode(), "unreachable");
  this->query.excluded = {"a"};
  EXPECT_EQ(this->ChosenNode(), "b");
}

TEST_F(TargetChooserTest, LeavesTheSubsetWhenAllOfItIsExcluded) {
  this->candidates.clear();
  for (int i = 0; i < 20; ++i) this->candidates.push_back(Make(std::to_string(i), "erie-a"));
  const auto subset = this->ChooseMany(1000);
  EXPECT_EQ(subset.size(), 8U);
  for (const auto& [node, count] : subset) this->query.excluded.push_back(node);
  EXPECT_FALSE(subset.contains(this->ChosenNode()));
  EXPECT_TRUE(this->Choose());
}

TEST_F(TargetChooserTest, BalancesByLoadAndSendsFewerCallsToAColdTarget) {
  this->candidates = {Make("a", "erie-a"), Make("b", "erie-a"), Make("cold", "erie-a")};
  this->candidates[2].first_seen = AtSeconds(-1);
  std::map<std::string, int> sent;
  for (int i = 0; i < 22; ++i) {
    const std::string node = this->ChosenNode();
    this->chooser.OnSent(node);
    sent[node] += 1;
  }
  EXPECT_NEAR(sent["a"], sent["b"], 3);
  EXPECT_GT(sent["cold"], 0);
  EXPECT_LT(sent["cold"], 5);
}

TEST_F(TargetChooserTest, TargetWithRecentlyReportedLimitDoesNotCountAsNew) {
  this->candidates = {Make("a", "erie-a"), Make("cold", "erie-a")};
  this->candidates[1].first_seen = AtSeconds(0);
  this->ChooseMany(2);  // Creates the state of both targets.
  for (const char* node : {"a", "cold"}) {
    this->Answer(node, CallOutcome::kSucceeded, {.in_flight = 0, .limit = 10}, std::nullopt);
  }
  std::map<std::string, int> sent;
  for (int i = 0; i < 16; ++i) {
    const std::string node = this->ChosenNode();
    this->chooser.OnSent(node);
    sent[node] += 1;
  }
  EXPECT_NEAR(sent["a"], sent["cold"], 2);
}

TEST_F(TargetChooserTest, SequentialCallsTryANewTargetDespiteAnIdleOne) {
  this->candidates = {Make("a", "erie-a"), Make("cold", "erie-a")};
  this->candidates[1].first_seen = AtSeconds(0);
  int tries = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string node = this->ChosenNode();
    if (node == "cold") tries += 1;
    if (node == "a") {
      this->Answer("a", CallOutcome::kSucceeded, {.in_flight = 0, .limit = 10}, std::nullopt);
    }
  }
  EXPECT_GT(tries, 0);
  EXPECT_LT(tries, 20);
}

TEST_F(TargetChooserTest, SequentialCallsSpreadOverTargetsOfSimilarLatency) {
  this->candidates = {Make("a", "erie-a"), Make("b", "erie-a")};
  this->ChooseMany(10);
  this->AnswerAfter("a", std::chrono::milliseconds(5));
  this->AnswerAfter("b", std::chrono::milliseconds(6));
  auto counts = this->ChooseMany(400);
  EXPECT_GT(counts["b"], 150);
}

TEST_F(TargetChooserTest, SequentialCallsAvoidAMuchSlowerTargetButKeepTryingIt) {
  this->candidates = {Make("a", "erie-a"), Make("b", "erie-a")};
  this->ChooseMany(10);
  this->AnswerAfter("a", std::chrono::milliseconds(5));
  this->AnswerAfter("b", std::chrono::milliseconds(500));
  auto counts = this->ChooseMany(400);
  EXPECT_GT(counts["b"], 0);
  EXPECT_LT(counts["b"], 60);
}

TEST_F(TargetChooserTest, EjectsAFailingTargetThenProbesItWithOneCall) {
  this->candidates = {Make("a", "erie-a"), Make("b", "erie-a"), Make("c", "erie-a")};
  this->ChosenNode();
  this->Fail("a");
  EXPECT_EQ(this->ChooseMany(100)["a"], 0);
  EXPECT_GT(this->ChooseMany(100, 1.1)["a"], 0);
  this->chooser.OnSent("a");
  EXPECT_EQ(this->ChooseMany(100, 1.1)["a"], 0);
}

TEST_F(TargetChooserTest, LeavesTheZoneForAHealthyTargetWhileItsOnlyTargetIsEjected) {
  this->ChosenNode();
  this->Fail("a");
  EXPECT_EQ(this->ChooseMany(100)["a"], 0);
  EXPECT_EQ(this->ChosenNode(), "b");
}

TEST_F(TargetChooserTest, LeavesTheZoneForAHealthyTargetWhileItsOnlyTargetFailsOften) {
  this->ChosenNode();
  for (int i = 0; i < 40; ++i) {
    const bool fails = i % 3 == 0;
    this->Answer("a", fails ? CallOutcome::kFailed : CallOutcome::kSucceeded, {}, std::nullopt);
  }
  EXPECT_EQ(this->ChooseMany(100)["b"], 100);
  EXPECT_EQ(this->ChooseMany(100, 1.1)["a"], 100) << "only calls can show that it is healthy again";
  this->Answer("a", CallOutcome::kFailed, {}, std::nullopt, 1.1);
  EXPECT_EQ(this->ChooseMany(100, 1.2)["b"], 100);
  for (int i = 0; i < 40; ++i) {
    this->Answer("a", CallOutcome::kSucceeded, {}, std::nullopt, 1.3);
  }
  EXPECT_EQ(this->ChooseMany(100, 1.4)["a"], 100);
}

TEST_F(TargetChooserTest, StaysInTheZoneWhenNoTargetIsHealthy) {
  this->ChosenNode();
  for (int i = 0; i < 40; ++i) {
    const bool fails = i % 3 == 0;
    for (const char* node : {"a", "b"}) {
      this->Answer(node, fails ? CallOutcome::kFailed : CallOutcome::kSucceeded, {}, std::nullopt);
    }
  }
  EXPECT_EQ(this->ChooseMany(100)["a"], 100);
}

TEST_F(TargetChooserTest, EjectsAtMostHalfAndNoneIfAllFail) {
  this->candidates.clear();
  for (const char* node : {"a", "b", "c", "d"}) this->candidates.push_back(Make(node, "erie-a"));
  this->ChosenNode();
  for (const char* node : {"a", "b", "c"}) this->Fail(node);
  EXPECT_EQ(this->ChooseMany(200).size(), 2U);
  this->Fail("d");
  EXPECT_EQ(this->ChooseMany(200).size(), 4U);
}

TEST_F(TargetChooserTest, NewIncarnationResetsEjectionAndLevel) {
  this->candidates = {Make("a", "erie-a"), Make("b", "erie-a")};
  this->ChosenNode();
  this->Fail("a");
  this->Refuse("a");
  ASSERT_EQ(this->ChooseMany(100)["a"], 0);
  this->candidates[0].incarnation = 2;
  EXPECT_GT(this->ChooseMany(100)["a"], 0);
}

}  // namespace
}  // namespace fireflyrun::policy
