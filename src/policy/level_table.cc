#include "policy/level_table.h"

#include <algorithm>

namespace fireflyrun::policy {
namespace {

constexpr std::uint64_t kQuarterRank = std::uint64_t{1} << 30;

}  // namespace

void LevelTable::OnLevelReported(std::string_view service, std::string_view node,
                                 const PriorityKey& level, SteadyTime now) {
  const Place place{std::string(node), std::string(service)};
  if (level == kOpenLevel) {
    this->heard_levels.erase(place);
    return;
  }
  Heard& heard = this->heard_levels[place];
  heard.level = level;
  heard.at = now;
}

bool LevelTable::Admits(std::string_view service, std::string_view node, const PriorityKey& key,
                        SteadyTime now) {
  const auto heard = this->heard_levels.find({std::string(node), std::string(service)});
  if (heard == this->heard_levels.end()) return true;
  if (key <= Loosened(heard->second, now)) return true;
  heard->second.refused += 1;
  return heard->second.refused % kRefusalsPerProbe == 0;
}

PriorityKey LevelTable::Level(std::string_view service, std::string_view node,
                              SteadyTime now) const {
  const auto heard = this->heard_levels.find({std::string(node), std::string(service)});
  if (heard == this->heard_levels.end()) return kOpenLevel;
  return Loosened(heard->second, now);
}

void LevelTable::Forget(std::string_view node) {
  std::erase_if(this->heard_levels, [&](const auto& heard) { return heard.first.first == node; });
}

PriorityKey LevelTable::Loosened(const Heard& heard, SteadyTime now) {
  const Duration age = now - heard.at;
  if (age >= kExpiryAge) return kOpenLevel;
  if (age <= kFreshDuration) return heard.level;
  const auto steps = static_cast<std::uint64_t>((age - kFreshDuration) / kLoosenInterval) + 1;
  const std::uint64_t level = (std::uint64_t{heard.level.rank} << 32) | heard.level.hash;
  const std::uint64_t room = UINT64_MAX - level;
  const std::uint64_t loosened = level + std::min(room, steps * kQuarterRank);
  return {static_cast<std::uint32_t>(loosened >> 32), static_cast<std::uint32_t>(loosened)};
}

}  // namespace fireflyrun::policy
