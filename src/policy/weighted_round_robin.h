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

/// Divides the calls of each route among its parts in proportion to their weights, by smooth
/// weighted round robin as nginx does: a pick goes to the part that is furthest behind its share.
///
/// Of m parts, none is ever a whole call ahead of its share since the start of a cycle, nor more
/// than 1/2 + 1/3 + ... + 1/m calls behind. A whole cycle divides exactly.
class WeightedRoundRobin {
 public:
  /// A uniform integer in [0, bound).
  using RandomBelow = std::function<std::uint64_t(std::uint64_t bound)>;

  /// `random_below` chooses where in its cycle a route starts, so that nodes which hear of a route
  /// together do not send their calls to the same part in step.
  explicit WeightedRoundRobin(RandomBelow random_below_hook);

  /// The index of the part that takes the next call of `route`. A route goes on where it stood as
  /// long as its weights are the same, and starts anew when they differ. At least one weight must
  /// be above 0.
  std::size_t Pick(std::string_view route, std::span<const int> weights);

  /// Drops the routes that `stands` does not know any more.
  void Retain(const std::function<bool(std::string_view route)>& stands);

 private:
  struct Cycle {
    std::vector<int> weights;
    std::int64_t total = 0;
    std::vector<std::int64_t> behind;  ///< Each part's share less its calls, times `total`.
  };

  static std::size_t Advance(Cycle& cycle);
  void Start(Cycle& cycle, std::span<const int> weights) const;

  RandomBelow random_below;
  std::map<std::string, Cycle, std::less<>> cycles;
};

}  // namespace fireflyrun::policy
