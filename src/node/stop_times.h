#pragma once

#include <algorithm>

#include "common/clock.h"
#include "node/node_settings.h"

namespace fireflyrun::node {

/// How long the steps of a stop take at most, counted from its begin.
struct StopTimes {
  Duration notice;       ///< Callers are still served as always.
  Duration drain_limit;  ///< Running calls are given up.
  Duration whole_limit;  ///< The process ends, whatever isn't done yet.
};

/// Where a kill follows, all of the stop stands in proportion to the time until then: callers leave
/// in its first half, calls end well within it, and what is left is for a slow machine.
inline StopTimes StopTimesOf(const NodeSettings& settings) {
  constexpr Duration kFarewell = std::chrono::seconds(3);
  constexpr double kNoticeShare = 0.5;
  constexpr double kDrainShare = 0.86;
  constexpr double kWholeShare = 0.93;
  const StopTimes wanted{settings.stop_notice, settings.stop_limit,
                         settings.stop_limit + kFarewell};
  const Duration grace = settings.stop_grace;
  if (grace == Duration::zero()) return wanted;
  const auto share = [grace](double part) {
    return std::chrono::duration_cast<Duration>(grace * part);
  };
  return {std::min(wanted.notice, share(kNoticeShare)),
          std::min(wanted.drain_limit, share(kDrainShare)),
          std::min(wanted.whole_limit, share(kWholeShare))};
}

}  // namespace fireflyrun::node
