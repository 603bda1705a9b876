#include "policy/level_table.h"

#include <algorithm>

namespace fireflyrun::policy {
namespace {

/// A quarter of a rank, in units of the hash.
constexpr std::uint64_t kLoosenStep = std::uint64_t{1} << 30;

}  // namespace

void LevelTable::OnLevelReported(std::string_view service, std::string_view node,
                                 const PriorityKey& level, SteadyTime now) {
  const Key key{std::string(node), std::string(service)};
  if (level == kOpenLevel) {
    this->reported_levels.erase(key);
    return;
  }
  ReportedLevel& reported = this->reported_levels[key];
  reported.level = level;
  reported.reported_at = now;
}

bool LevelTable::Admits(std::string_view service, std::string_view node, const PriorityKey& key,
                        SteadyTime now) {
  const auto reported = this->reported_levels.find({std::string(node), std::string(service)});
  if (reported == this->reported_levels.end()) return true;
  if (key <= Loosened(reported->second, now)) return true;
  reported->second.refused_calls += 1;
  return reported->second.refused_calls % kRefusalsPerProbe == 0;
}

PriorityKey LevelTable::Level(std::string_view service, std::string_view node,
                              SteadyTime now) const {
  const auto reported = this->reported_levels.find({std::string(node), std::string(service)});
  if (reported == this->reported_levels.end()) return kOpenLevel;
  return Loosened(reported->second, now);
}

void LevelTable::Forget(std::string_view node) {
  std::erase_if(this->reported_levels,
                [&](const auto& reported) { return reported.first.first == node; });
}

PriorityKey LevelTable::Loosened(const ReportedLevel& reported, SteadyTime now) {
  const Duration age = now - reported.reported_at;
  if (age >= kExpiryAge) return kOpenLevel;
  if (age <= kFreshDuration) return reported.level;
  const auto steps = static_cast<std::uint64_t>((age - kFreshDuration) / kLoosenInterval) + 1;
  const std::uint64_t level = (std::uint64_t{reported.level.rank} << 32) | reported.level.hash;
  const std::uint64_t room = UINT64_MAX - level;
  const std::uint64_t loosened = level + std::min(room, steps * kLoosenStep);
  return {static_cast<std::uint32_t>(loosened >> 32), static_cast<std::uint32_t>(loosened)};
}

}  // namespace fireflyrun::policy
