#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "common/clock.h"
#include "policy/priority_key.h"

namespace fireflyrun::policy {

/// The tighter of two levels.
inline PriorityKey Tightest(const PriorityKey& one, const PriorityKey& other) {
  return one < other ? one : other;
}

/// The admission levels that a caller's node has heard of others, per service and target node.
///
/// A level that is not heard again is loosened in steps and then forgotten, and of the calls that
/// it would refuse one in `kRefusalsPerProbe` is let through to fetch news. So a refusal here never
/// outlives its cause by more than `kExpiryAge`.
class LevelTable {
 public:
  static constexpr Duration kFreshDuration = std::chrono::seconds(1);
  static constexpr Duration kLoosenInterval = std::chrono::milliseconds(250);
  static constexpr Duration kExpiryAge = std::chrono::seconds(5);
  static constexpr std::uint32_t kRefusalsPerProbe = 100;

  /// Replaces what was heard before.
  void OnLevelReported(std::string_view service, std::string_view node, const PriorityKey& level,
                       SteadyTime now);
  /// Whether a call with `key` may be sent; counts refusals to let the probe share through.
  bool Admits(std::string_view service, std::string_view node, const PriorityKey& key,
              SteadyTime now);
  /// The level in force now, after loosening.
  PriorityKey Level(std::string_view service, std::string_view node, SteadyTime now) const;
  /// Drops all levels of a node that is gone.
  void Forget(std::string_view node);

 private:
  struct Heard {
    PriorityKey level;
    SteadyTime at;
    std::uint32_t refused = 0;
  };
  using Place = std::pair<std::string, std::string>;  ///< Node, service.

  static PriorityKey Loosened(const Heard& heard, SteadyTime now);

  std::map<Place, Heard> heard_levels;
};

}  // namespace fireflyrun::policy
