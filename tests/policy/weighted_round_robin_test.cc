#include "policy/weighted_round_robin.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

namespace fireflyrun::policy {
namespace {

std::uint64_t First(std::uint64_t /*bound*/) { return 0; }

std::string Picks(WeightedRoundRobin& pick, const std::string& route,
                  const std::vector<int>& weights, int count) {
  std::string picks;
  for (int i = 0; i < count; ++i) picks += static_cast<char>('a' + pick.Pick(route, weights));
  return picks;
}

/// 1/2 + 1/3 + ... + 1/parts.
double MostBehind(std::size_t parts) {
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

RC_GTEST_PROP(WeightedPickTest, KeepsToItsBoundsAfterEachCall, ()) {
  constexpr double kRounding = 1e-9;
  const auto weights = *GenWeights();
  const auto start = *rc::gen::arbitrary<std::uint64_t>();
  const bool starts_at_zero = *rc::gen::arbitrary<bool>();
  WeightedRoundRobin pick([&](std::uint64_t bound) { return starts_at_zero ? 0 : start % bound; });
  const double total = std::accumulate(weights.begin(), weights.end(), 0);
  const double most_behind = MostBehind(weights.size());
  std::vector<int> counts(weights.size(), 0);
  for (int calls = 1; calls <= 500; ++calls) {
    counts[pick.Pick("r", weights)] += 1;
    for (std::size_t i = 0; i < weights.size(); ++i) {
      const double ahead = counts[i] - calls * weights[i] / total;
      // A start within the cycle adds what a part was ahead or behind there.
      const double slack = starts_at_zero ? 0 : most_behind;
      const double slack_behind = starts_at_zero ? 0 : 1;
      RC_ASSERT(ahead < 1 + slack + kRounding);
      RC_ASSERT(-ahead < most_behind + slack_behind + kRounding);
      RC_ASSERT(weights[i] > 0 || counts[i] == 0);
    }
  }
}

RC_GTEST_PROP(WeightedPickTest, TwoPartsAreNeverACallFromTheirShares, ()) {
  const std::vector<int> weights = {*rc::gen::inRange(1, 1001), *rc::gen::inRange(1, 1001)};
  const auto start = *rc::gen::arbitrary<std::uint64_t>();
  WeightedRoundRobin pick([&](std::uint64_t bound) { return start % bound; });
  const double share = static_cast<double>(weights[0]) / (weights[0] + weights[1]);
  int first = 0;
  for (int calls = 1; calls <= 500; ++calls) {
    first += pick.Pick("r", weights) == 0 ? 1 : 0;
    RC_ASSERT(std::abs(first - calls * share) <= 1 + 1e-9);
  }
}

TEST(WeightedPickTest, SpreadsTheCallsOfAPart) {
  WeightedRoundRobin pick(First);
  EXPECT_EQ(Picks(pick, "r", {5, 1, 1}, 14), "aabacaaaabacaa");
  EXPECT_EQ(Picks(pick, "s", {90, 10}, 10), "aaaaabaaaa");
}

TEST(WeightedPickTest, GoesOnWhileTheWeightsStay) {
  WeightedRoundRobin pick(First);
  EXPECT_EQ(Picks(pick, "r", {2, 1}, 1), "a");
  EXPECT_EQ(Picks(pick, "other", {2, 1}, 3), "aba");
  pick.Retain([](std::string_view route) { return route == "r"; });
  EXPECT_EQ(Picks(pick, "r", {2, 1}, 2), "ba");
  EXPECT_EQ(Picks(pick, "r", {2, 1}, 1), "a");
  EXPECT_EQ(Picks(pick, "r", {1, 2}, 3), "bab");
  EXPECT_EQ(Picks(pick, "r", {2, 1}, 1), "a");
  pick.Retain([](std::string_view) { return false; });
  EXPECT_EQ(Picks(pick, "r", {2, 1}, 1), "a");
}

TEST(WeightedPickTest, StartsWhereTheHookSays) {
  std::string firsts;
  for (std::uint64_t start = 0; start < 10; ++start) {
    WeightedRoundRobin pick([&](std::uint64_t bound) {
      EXPECT_EQ(bound, 10U);
      return start;
    });
    firsts += Picks(pick, "r", {900, 100}, 1);
  }
  EXPECT_EQ(firsts, "aaaaabaaaa");
}

}  // namespace
}  // namespace fireflyrun::policy
