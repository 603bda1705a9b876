#pragma once

#include <algorithm>
#include <chrono>

#include "common/clock.h"
#include "node/node_settings.h"

namespace fireflyrun::node {

/// Requests that were on their way when a target's leaving was told arrive within this time.
constexpr Duration kTargetFarewell = std::chrono::milliseconds(700);

/// How long the steps of a stop take at most, counted from its begin.
struct StopTimes {
  Duration target_service_limit;  ///< The local target takes new calls of other nodes.
  Duration notice;                ///< Callers are still served as always.
  Duration drain_limit;           ///< Running calls are given up.
  Duration process_limit;         ///< The process ends, whatever isn't done yet.
};

/// Where a kill follows, all of the stop stands in proportion to the time until then: callers leave
/// in its first half, calls end well within it, and what is left is for a slow machine.
/// The target leaves before the callers' notice ends, so that most of what it runs ends with it.
inline StopTimes StopTimesOf(const NodeSettings& settings) {
  constexpr Duration kFarewell = std::chrono::seconds(3);
  constexpr double kNoticeShare = 0.5;
  constexpr double kDrainShare = 0.86;
  constexpr double kWholeShare = 0.93;
  const auto stays = [](Duration notice) {
    return std::max(Duration::zero(), notice - kTargetFarewell);
  };
  const StopTimes wanted{stays(settings.stop_notice), settings.stop_notice, settings.stop_limit,
                         settings.stop_limit + kFarewell};
  const Duration grace = settings.stop_grace;
  if (grace == Duration::zero()) return wanted;
  const auto share = [grace](double part) {
    return std::chrono::duration_cast<Duration>(grace * part);
  };
  const Duration notice = std::min(wanted.notice, share(kNoticeShare));
  return {stays(notice), notice, std::min(wanted.drain_limit, share(kDrainShare)),
          std::min(wanted.process_limit, share(kWholeShare))};
}

}  // namespace fireflyrun::node
