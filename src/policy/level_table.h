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

/// The admission levels that target nodes reported to a caller's node, per service and target node.
///
/// A level that is not reported again is loosened in steps and then expires, and of the calls that
/// it would refuse, one in `kRefusalsPerProbe` is sent to fetch the current level. So refusals here
/// never outlast their cause by more than `kExpiryAge`.
class LevelTable {
 public:
  static constexpr Duration kFreshDuration = std::chrono::seconds(1);
  static constexpr Duration kLoosenInterval = std::chrono::milliseconds(250);
  static constexpr Duration kExpiryAge = std::chrono::seconds(5);
  static constexpr std::uint32_t kRefusalsPerProbe = 100;

  /// Replaces the level reported before.
  void OnLevelReported(std::string_view service, std::string_view node, const PriorityKey& level,
                       SteadyTime now);
  /// Whether a call with `key` may be sent; counts refusals to let one in `kRefusalsPerProbe` pass.
  bool Admits(std::string_view service, std::string_view node, const PriorityKey& key,
              SteadyTime now);
  /// The level in force now, after loosening.
  PriorityKey Level(std::string_view service, std::string_view node, SteadyTime now) const;
  /// Drops all levels of a departed node.
  void Forget(std::string_view node);

 private:
  struct ReportedLevel {
    PriorityKey level;
    SteadyTime reported_at;
    std::uint32_t refused_calls = 0;
  };
  using Key = std::pair<std::string, std::string>;  ///< Node, service.

  static PriorityKey Loosened(const ReportedLevel& reported, SteadyTime now);

  std::map<Key, ReportedLevel> reported_levels;
};

}  // namespace fireflyrun::policy
