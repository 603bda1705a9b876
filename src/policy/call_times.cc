#include "policy/call_times.h"

#include <algorithm>

namespace fireflyrun::policy {

void CallTimes::Add(const std::string& kind, Duration time, SteadyTime now) {
  const auto [place, added] = this->entries.try_emplace(kind);
  Entry& entry = place->second;
  const Duration age = now - entry.window_start;
  if (added || age >= kWindow) {
    entry.previous = added || age >= 2 * kWindow ? Duration::zero() : entry.current;
    entry.current = Duration::zero();
    entry.window_start = now;
  }
  entry.current = std::max(entry.current, time);
}

std::optional<Duration> CallTimes::Longest(const std::string& kind) const {
  const auto found = this->entries.find(kind);
  if (found == this->entries.end()) return std::nullopt;
  return std::max(found->second.current, found->second.previous);
}

}  // namespace fireflyrun::policy
