#include "policy/weighted_round_robin.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

namespace fireflyrun::policy {
namespace {

/// Calls at the start of a cycle among which the start position is chosen. Cycles may be longer
/// than anything that a route lives to see; the bound keeps a start short.
constexpr double kMaxStartPositions = 16'000;
/// Of the start positions times the parts, each of which every call before the start looks at.
constexpr double kMaxStartSteps = 1'000'000;

/// The largest number of which both are whole multiples. Exact: both are multiples of a power of
/// two, and so is each remainder.
double GreatestCommonDivisor(double a, double b) {
  while (b > 0) a = std::exchange(b, std::fmod(a, b));
  return a;
}

/// Scaling by a power of two is exact, so whole weights stay free of rounding, and neither the sum
/// nor a deficit overflows.
std::vector<double> Scale(std::span<const double> weights) {
  const int exponent = std::ilogb(std::ranges::max(weights)) + 1;
  std::vector<double> scaled;
  scaled.reserve(weights.size());
  for (const double weight : weights) scaled.push_back(std::ldexp(weight, -exponent));
  return scaled;
}

}  // namespace

WeightedRoundRobin::WeightedRoundRobin(RandomBelow random_below_hook)
    : random_below(std::move(random_below_hook)) {}

std::size_t WeightedRoundRobin::Pick(std::string_view route, std::span<const double> weights) {
  auto found = this->cycles.find(route);
  if (found == this->cycles.end()) found = this->cycles.emplace(route, Cycle{}).first;
  Cycle& cycle = found->second;
  if (!std::ranges::equal(cycle.weights, weights)) this->Start(cycle, weights);
  return Advance(cycle);
}

void WeightedRoundRobin::Retain(const std::function<bool(std::string_view route)>& is_current) {
  std::erase_if(this->cycles, [&](const auto& item) { return !is_current(item.first); });
}

std::size_t WeightedRoundRobin::Advance(Cycle& cycle) {
  std::ranges::transform(cycle.deficits, cycle.scaled, cycle.deficits.begin(), std::plus{});
  const auto furthest_behind = std::max_element(cycle.deficits.begin(), cycle.deficits.end());
  *furthest_behind -= cycle.total;
  return static_cast<std::size_t>(furthest_behind - cycle.deficits.begin());
}

void WeightedRoundRobin::Start(Cycle& cycle, std::span<const double> weights) const {
  cycle.weights.assign(weights.begin(), weights.end());
  cycle.scaled = Scale(weights);
  cycle.deficits.assign(weights.size(), 0);
  cycle.total = std::accumulate(cycle.scaled.begin(), cycle.scaled.end(), 0.0);
  const double divisor =
      std::accumulate(cycle.scaled.begin(), cycle.scaled.end(), 0.0, GreatestCommonDivisor);
  const double cycle_length = std::round(cycle.total / divisor);
  const double parts = static_cast<double>(weights.size());
  const double most = std::clamp(kMaxStartSteps / parts, 1.0, kMaxStartPositions);
  const auto positions = static_cast<std::uint64_t>(std::min(cycle_length, most));
  for (std::uint64_t remaining = this->random_below(positions); remaining > 0; --remaining)
    Advance(cycle);
}

}  // namespace fireflyrun::policy
