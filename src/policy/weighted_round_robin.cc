#include "policy/weighted_round_robin.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace fireflyrun::policy {

WeightedRoundRobin::WeightedRoundRobin(RandomBelow random_below_hook)
    : random_below(std::move(random_below_hook)) {}

std::size_t WeightedRoundRobin::Pick(std::string_view route, std::span<const int> weights) {
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
  for (std::size_t i = 0; i < cycle.weights.size(); ++i) cycle.deficits[i] += cycle.weights[i];
  const auto furthest_behind = std::max_element(cycle.deficits.begin(), cycle.deficits.end());
  *furthest_behind -= cycle.total;
  return static_cast<std::size_t>(furthest_behind - cycle.deficits.begin());
}

void WeightedRoundRobin::Start(Cycle& cycle, std::span<const int> weights) const {
  cycle.weights.assign(weights.begin(), weights.end());
  cycle.deficits.assign(weights.size(), 0);
  cycle.total = std::accumulate(weights.begin(), weights.end(), std::int64_t{0});
  const int divisor = std::accumulate(weights.begin(), weights.end(), 0, std::gcd<int, int>);
  const auto cycle_length = static_cast<std::uint64_t>(cycle.total / divisor);
  for (std::uint64_t remaining = this->random_below(cycle_length); remaining > 0; --remaining)
    Advance(cycle);
}

}  // namespace fireflyrun::policy
