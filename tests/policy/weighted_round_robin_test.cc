#include "policy/weighted_round_robin.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

namespace fireflyrun::policy {
namespace {

std::uint64_t ZeroHook(std::uint64_t /*bound*/) { return 0; }

std::string Picks(WeightedRoundRobin& round_robin, const std::string& route,
                  const std::vector<int>& weights, int count) {
  std::string picks;
  for (int i = 0; i < count; ++i)
    picks += static_cast<char>('a' + round_robin.Pick(route, weights));
  return picks;
}

/// 1/2 + 1/3 + ... + 1/parts.
double MaxDeficit(std::size_t parts) {
  double sum = 0;
  for (std::size_t i = 2; i <= parts; ++i) sum += 1.0 / static_cast<double>(i);
  return sum;
}

rc::Gen<std::vector<int>> GenWeights() {
  return rc::gen::suchThat(rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, 17),
                                           [](std::size_t parts) {
                                             return rc::gen::container<std::vector<int>>(
                                                 parts, rc::gen::inRange(0, 1001));
                                           }),
                           [](const std::vector<int>& weights) {
                             return std::ranges::any_of(weights, std::identity{});
                           });
}

RC_GTEST_PROP(WeightedRoundRobinTest, StaysWithinItsBoundsAfterEachCall, ()) {
  constexpr double kRounding = 1e-9;
  const auto weights = *GenWeights();
  const auto start = *rc::gen::arbitrary<std::uint64_t>();
  const bool starts_at_zero = *rc::gen::arbitrary<bool>();
  WeightedRoundRobin round_robin(
      [&](std::uint64_t bound) { return starts_at_zero ? 0 : start % bound; });
  const double total = std::accumulate(weights.begin(), weights.end(), 0);
  const double max_deficit = MaxDeficit(weights.size());
  std::vector<int> counts(weights.size(), 0);
  for (int calls = 1; calls <= 500; ++calls) {
    counts[round_robin.Pick("r", weights)] += 1;
    for (std::size_t i = 0; i < weights.size(); ++i) {
      const double lead = counts[i] - calls * weights[i] / total;
      // A start within the cycle adds the lead or deficit that a part has at that position.
      const double lead_slack = starts_at_zero ? 0 : max_deficit;
      const double deficit_slack = starts_at_zero ? 0 : 1;
      RC_ASSERT(lead < 1 + lead_slack + kRounding);
      RC_ASSERT(-lead < max_deficit + deficit_slack + kRounding);
      RC_ASSERT(weights[i] > 0 || counts[i] == 0);
    }
  }
}

RC_GTEST_PROP(WeightedRoundRobinTest, TwoPartsStayWithinOneCallOfTheirShares, ()) {
  const std::vector<int> weights = {*rc::gen::inRange(1, 1001), *rc::gen::inRange(1, 1001)};
  const auto start = *rc::gen::arbitrary<std::uint64_t>();
  WeightedRoundRobin round_robin([&](std::uint64_t bound) { return start % bound; });
  const double share = static_cast<double>(weights[0]) / (weights[0] + weights[1]);
  int first = 0;
  for (int calls = 1; calls <= 500; ++calls) {
    first += round_robin.Pick("r", weights) == 0 ? 1 : 0;
    RC_ASSERT(std::abs(first - calls * share) <= 1 + 1e-9);
  }
}

TEST(WeightedRoundRobinTest, InterleavesTheCallsOfTheParts) {
  WeightedRoundRobin round_robin(ZeroHook);
  EXPECT_EQ(Picks(round_robin, "r", {5, 1, 1}, 14), "aabacaaaabacaa");
  EXPECT_EQ(Picks(round_robin, "s", {90, 10}, 10), "aaaaabaaaa");
}

TEST(WeightedRoundRobinTest, ContinuesTheCycleWhileTheWeightsStay) {
  WeightedRoundRobin round_robin(ZeroHook);
  EXPECT_EQ(Picks(round_robin, "r", {2, 1}, 1), "a");
  EXPECT_EQ(Picks(round_robin, "other", {2, 1}, 3), "aba");
  round_robin.Retain([](std::string_view route) { return route == "r"; });
  EXPECT_EQ(Picks(round_robin, "r", {2, 1}, 2), "ba");
  EXPECT_EQ(Picks(round_robin, "r", {2, 1}, 1), "a");
  EXPECT_EQ(Picks(round_robin, "r", {1, 2}, 3), "bab");
  EXPECT_EQ(Picks(round_robin, "r", {2, 1}, 1), "a");
  round_robin.Retain([](std::string_view) { return false; });
  EXPECT_EQ(Picks(round_robin, "r", {2, 1}, 1), "a");
}

TEST(WeightedRoundRobinTest, StartsAtThePositionFromTheHook) {
  std::string firsts;
  for (std::uint64_t start = 0; start < 10; ++start) {
    WeightedRoundRobin round_robin([&](std::uint64_t bound) {
      EXPECT_EQ(bound, 10U);
      return start;
    });
    firsts += Picks(round_robin, "r", {900, 100}, 1);
  }
  EXPECT_EQ(firsts, "aaaaabaaaa");
}

}  // namespace
}  // namespace fireflyrun::policy
