#include "policy/weighted_round_robin.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>
#include <vector>

namespace fireflyrun::policy {
namespace {

std::uint64_t ZeroHook(std::uint64_t /*bound*/) { return 0; }

std::string Picks(WeightedRoundRobin& round_robin, const std::string& route,
                  const std::vector<double>& weights, int count) {
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

rc::Gen<std::vector<double>> GenWeights(const rc::Gen<double>& weight) {
  return rc::gen::suchThat(rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, 17),
                                           [weight](std::size_t parts) {
                                             return rc::gen::container<std::vector<double>>(parts,
                                                                                            weight);
                                           }),
                           [](const std::vector<double>& weights) {
                             return std::ranges::any_of(weights, [](double w) { return w > 0; });
                           });
}

/// Whole numbers of 0 to 1000.
rc::Gen<double> GenWholeWeight() { return rc::gen::cast<double>(rc::gen::inRange(0, 1001)); }

/// Equal, fractional, tiny and huge numbers, and 0.
rc::Gen<double> GenAnyWeight() {
  const auto fraction =
      rc::gen::map(rc::gen::inRange(0, 1'000'001), [](int millionths) { return millionths / 1e6; });
  const auto scaled = rc::gen::apply(
      [](double mantissa, int exponent) { return mantissa * std::pow(10.0, exponent); }, fraction,
      rc::gen::inRange(-300, 300));
  return rc::gen::oneOf(fraction, fraction, scaled, GenWholeWeight(), rc::gen::just(1.0 / 3));
}

RC_GTEST_PROP(WeightedRoundRobinTest, StaysWithinItsBoundsAfterEachCall, ()) {
  constexpr double kRounding = 1e-9;
  const auto weights = *GenWeights(GenWholeWeight());
  const auto start = *rc::gen::arbitrary<std::uint64_t>();
  const bool starts_at_zero = *rc::gen::arbitrary<bool>();
  WeightedRoundRobin round_robin(
      [&](std::uint64_t bound) { return starts_at_zero ? 0 : start % bound; });
  const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
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
  const std::vector<double> weights = {*rc::gen::cast<double>(rc::gen::inRange(1, 1001)),
                                       *rc::gen::cast<double>(rc::gen::inRange(1, 1001))};
  const auto start = *rc::gen::arbitrary<std::uint64_t>();
  WeightedRoundRobin round_robin([&](std::uint64_t bound) { return start % bound; });
  const double share = static_cast<double>(weights[0]) / (weights[0] + weights[1]);
  int first = 0;
  for (int calls = 1; calls <= 500; ++calls) {
    first += round_robin.Pick("r", weights) == 0 ? 1 : 0;
    RC_ASSERT(std::abs(first - calls * share) <= 1 + 1e-9);
  }
}

/// Guards against weights that are rounded: 0.4, 0.35 and 0.25 once counted as 0, and a version
/// with them never came into force.
RC_GTEST_PROP(WeightedRoundRobinTest, AnyWeightsGetTheirSharesOfManyCalls, ()) {
  constexpr int kCalls = 10'000;
  const auto weights = *GenWeights(GenAnyWeight());
  const auto start = *rc::gen::arbitrary<std::uint64_t>();
  WeightedRoundRobin round_robin([&](std::uint64_t bound) { return start % bound; });
  const double largest = *std::ranges::max_element(weights);
  double total = 0;
  for (const double weight : weights) total += weight / largest;
  std::vector<int> counts(weights.size(), 0);
  for (int call = 0; call < kCalls; ++call) counts[round_robin.Pick("r", weights)] += 1;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    const double share = weights[i] / largest / total;
    RC_ASSERT(std::abs(counts[i] - share * kCalls) <= 0.01 * kCalls);
    RC_ASSERT(std::abs(counts[i] - share * kCalls) <= 2 + 2 * MaxDeficit(weights.size()));
  }
}

TEST(WeightedRoundRobinTest, OnlyTheProportionsOfTheWeightsMatter) {
  WeightedRoundRobin round_robin(ZeroHook);
  const std::string whole = Picks(round_robin, "whole", {8, 7, 5}, 40);
  EXPECT_EQ(Picks(round_robin, "halves", {4, 3.5, 2.5}, 40), whole);
  EXPECT_EQ(Picks(round_robin, "tiny", {8e-300, 7e-300, 5e-300}, 40).size(), whole.size());
  EXPECT_EQ(Picks(round_robin, "huge", {0x8p1000, 0x7p1000, 0x5p1000}, 40), whole);
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

/// Guards against a first call of a route with many services that takes minutes: each position
/// before the start looks at all parts.
TEST(WeightedRoundRobinTest, StartOfARouteWithManyServicesIsShort) {
  constexpr double kMostSteps = 1'000'000;
  for (const std::size_t parts : {2UL, 100UL, 10'000UL, 300'000UL}) {
    std::vector<double> weights(parts, 1.0);
    weights.front() = 0.37;
    std::uint64_t positions = 0;
    WeightedRoundRobin round_robin([&](std::uint64_t bound) {
      positions = bound;
      return bound - 1;
    });
    EXPECT_LT(round_robin.Pick("route", weights), parts);
    EXPECT_GE(positions, 1U) << parts;
    EXPECT_LE(static_cast<double>(positions) * static_cast<double>(parts), kMostSteps) << parts;
  }
}

}  // namespace
}  // namespace fireflyrun::policy
