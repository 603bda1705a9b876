#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyrun::policy {

/// Distributes the calls of each route among its parts in proportion to their weights, by smooth
/// weighted round robin as in nginx: each call goes to the part that is furthest behind its share.
///
/// Answers the load of split routes: whatever the weights, each part gets its share of any run of
/// calls.
///
/// With m parts, none is ever a whole call ahead of its share since the start of a cycle, nor more
/// than 1/2 + 1/3 + ... + 1/m calls behind it. Over a whole cycle, the shares are exact. Only the
/// proportions of the weights matter.
class WeightedRoundRobin {
 public:
  /// A uniform integer in [0, bound).
  using RandomBelow = std::function<std::uint64_t(std::uint64_t bound)>;

  /// `random_below_hook` chooses the position in its cycle at which a route starts, so that nodes
  /// that learn of a route at the same time don't send their calls to the same parts in lockstep.
  explicit WeightedRoundRobin(RandomBelow random_below_hook);

  /// The index of the part that takes the next call of `route`. A route continues its cycle as long
  /// as its weights stay the same, and starts a new cycle when they change. Weights are finite
  /// numbers of 0 or more, at least one of them above 0.
  std::size_t Pick(std::string_view route, std::span<const double> weights);

  /// Drops the routes for which `is_current` returns false.
  void Retain(const std::function<bool(std::string_view route)>& is_current);

 private:
  struct Cycle {
    std::vector<double> weights;  ///< As given.
    /// The weights, scaled by a power of two so that the largest is below 1 and at least 1/2.
    std::vector<double> scaled;
    double total = 0;  ///< Of `scaled`.
    /// Per part: its share of the calls minus its calls, times `total`.
    std::vector<double> deficits;
  };

  static std::size_t Advance(Cycle& cycle);
  void Start(Cycle& cycle, std::span<const double> weights) const;

  RandomBelow random_below;
  std::map<std::string, Cycle, std::less<>> cycles;
};

}  // namespace fireflyrun::policy
