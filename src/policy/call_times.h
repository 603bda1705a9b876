#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "common/clock.h"

namespace fireflyrun::policy {

/// How long calls have recently taken, by kind of call. Keeps two numbers for each kind, so it can
/// tell the longest time but no distribution.
class CallTimes {
 public:
  /// Counts a call that has ended, whatever its result. `kind` comes from the records in force, so
  /// there are few.
  void Add(const std::string& kind, Duration time, SteadyTime now);

  /// The longest time of the last `kWindow` to twice `kWindow` in which calls of the kind ended;
  /// empty before the first one.
  std::optional<Duration> Longest(const std::string& kind) const;

 private:
  static constexpr Duration kWindow = std::chrono::seconds(10);

  struct Entry {
    SteadyTime window_start;
    Duration current = Duration::zero();
    Duration previous = Duration::zero();
  };

  std::unordered_map<std::string, Entry> entries;
};

}  // namespace fireflyrun::policy
