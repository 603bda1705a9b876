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

void WeightedRoundRobin::Retain(const std::function<bool(std::string_view route)>& stands) {
  std::erase_if(this->cycles, [&](const auto& item) { return !stands(item.first); });
}

std::size_t WeightedRoundRobin::Advance(Cycle& cycle) {
  for (std::size_t i = 0; i < cycle.weights.size(); ++i) cycle.behind[i] += cycle.weights[i];
  const auto furthest = std::max_element(cycle.behind.begin(), cycle.behind.end());
  *furthest -= cycle.total;
  return static_cast<std::size_t>(furthest - cycle.behind.begin());
}

void WeightedRoundRobin::Start(Cycle& cycle, std::span<const int> weights) const {
  cycle.weights.assign(weights.begin(), weights.end());
  cycle.behind.assign(weights.size(), 0);
  cycle.total = std::accumulate(weights.begin(), weights.end(), std::int64_t{0});
  const int divisor = std::accumulate(weights.begin(), weights.end(), 0, std::gcd<int, int>);
  const auto cycle_length = static_cast<std::uint64_t>(cycle.total / divisor);
  for (std::uint64_t left = this->random_below(cycle_length); left > 0; --left) Advance(cycle);
}

}  // namespace fireflyrun::policy
