#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <cstdint>

#include "tests/policy/simulated_fleet.h"

namespace fireflyrun::policy {
namespace {

constexpr int kSteps = 600;
const FleetRetryBound kBound{std::chrono::seconds(10), 0.2, 48, 5};

FleetSummary CompleteSummary(std::size_t preceding, std::size_t members, std::size_t reachable) {
  return {preceding, members, reachable, true};
}

RC_GTEST_PROP(FleetRetryTest, RepeatsOfAllNodesAndLevelsStayWithinTheBoundInAnyWindow,
              (std::uint32_t seed)) {
  SimulatedFleet fleet(seed, kBound, 1 + seed % 80);
  fleet.Run(kSteps, 60);
  RC_ASSERT(fleet.WorstExcess() <= 0);
}

RC_GTEST_PROP(FleetRetryTest, WithoutExtraOnlyTheRatioIsSpent, (std::uint32_t seed)) {
  FleetRetryBound bound = kBound;
  bound.extra = 0;
  bound.levels = 1 + static_cast<int>(seed % 2);
  SimulatedFleet fleet(seed, bound, 1 + seed % 40);
  fleet.Run(kSteps, 200);
  RC_ASSERT(fleet.WorstExcess() <= 0);
}

RC_GTEST_PROP(FleetRetryTest, FreeRetriesOfAnyNumberOfNodesStayWithinTheExtra,
              (std::uint32_t seed)) {
  FleetRetryBound bound = kBound;
  bound.ratio = 0;
  bound.extra = seed % 24;
  bound.levels = 1;
  SimulatedFleet fleet(seed, bound, 20 + seed % 130);
  fleet.Run(kSteps, 100);
  RC_ASSERT(fleet.WorstExcess() <= 0);
}

TEST(FleetRetryTest, NodesBusyOneWindowApartSpendTheRetriesOfOneNodeTogether) {
  WindowedRetryBudget early(kBound);
  WindowedRetryBudget late(kBound);
  for (int i = 0; i < 1000; ++i) early.OnSuccess(AtSeconds(-0.1));
  for (int i = 0; i < 1000; ++i) late.OnSuccess(AtSeconds(9.7));
  int spent = 0;
  while (early.TrySpend(false, AtSeconds(0))) ++spent;
  while (late.TrySpend(false, AtSeconds(9.8))) ++spent;
  EXPECT_EQ(spent, 1000 * kBound.ratio / kBound.levels);
}

TEST(FleetRetryTest, NumberOfFreeRetriesIsIndependentOfFleetSize) {
  for (const std::size_t members : {16U, 300U, 2700U}) {
    std::size_t eligible_nodes = 0;
    for (std::size_t preceding = 0; preceding < members; ++preceding) {
      FreeRetryEligibility eligibility(kBound);
      eligibility.OnFleetSummary(CompleteSummary(preceding, members, members), AtSeconds(0));
      if (eligibility.IsEligible(AtSeconds(15))) ++eligible_nodes;
    }
    EXPECT_EQ(eligible_nodes, kBound.FreeRetryHolders());
  }
  EXPECT_EQ(kBound.FreeRetries(), 9U);
  EXPECT_EQ(kBound.FreeRetryHolders(), 6U);
}

TEST(FleetRetryTest, EligibleAfterPropagationTimeAndOneWindowAmongTheFirst) {
  FreeRetryEligibility eligibility(kBound);
  eligibility.OnFleetSummary(CompleteSummary(2, 16, 16), AtSeconds(0));
  EXPECT_FALSE(eligibility.IsEligible(AtSeconds(14.9)));
  EXPECT_TRUE(eligibility.IsEligible(AtSeconds(15)));
  eligibility.OnFleetSummary(CompleteSummary(6, 16, 16), AtSeconds(16));
  EXPECT_FALSE(eligibility.IsEligible(AtSeconds(16)));
  eligibility.OnFleetSummary(CompleteSummary(5, 16, 16), AtSeconds(17));
  EXPECT_FALSE(eligibility.IsEligible(AtSeconds(31.9)));
  EXPECT_TRUE(eligibility.IsEligible(AtSeconds(32)));
}

TEST(FleetRetryTest, NodeWithIncompleteViewIsNotEligible) {
  FreeRetryEligibility eligibility(kBound);
  eligibility.OnFleetSummary({0, 1, 1, false}, AtSeconds(0));
  EXPECT_FALSE(eligibility.IsEligible(AtSeconds(20))) << "no other member discovered";
  eligibility.OnFleetSummary(CompleteSummary(0, 16, 8), AtSeconds(20));
  EXPECT_FALSE(eligibility.IsEligible(AtSeconds(40))) << "half of the fleet is unreachable";
  eligibility.OnFleetSummary(CompleteSummary(0, 16, 9), AtSeconds(40));
  EXPECT_TRUE(eligibility.IsEligible(AtSeconds(55)));
}

TEST(WindowedRetryBudgetTest, IgnoresSuccessesAndRetriesOlderThanTheWindow) {
  WindowedRetryBudget budget(kBound);
  for (int i = 0; i < 200; ++i) budget.OnSuccess(AtSeconds(i * 0.01));
  EXPECT_NEAR(budget.Available(false, AtSeconds(2)), 4, 1e-9);
  EXPECT_TRUE(budget.TrySpend(false, AtSeconds(2)));
  EXPECT_TRUE(budget.TrySpend(true, AtSeconds(9)));
  EXPECT_NEAR(budget.Available(true, AtSeconds(9)), 3, 1e-9);
  EXPECT_FALSE(budget.TrySpend(false, AtSeconds(12)));
  EXPECT_FALSE(budget.TrySpend(true, AtSeconds(12))) << "one was spent within the window";
  EXPECT_TRUE(budget.TrySpend(true, AtSeconds(19)));
}

}  // namespace
}  // namespace fireflyrun::policy
