#pragma once

#include <algorithm>
#include <chrono>

#include "common/clock.h"
#include "node/node_settings.h"

namespace fireflyrun::node {

/// Requests that were in flight when a target announced its departure arrive within this time.
constexpr Duration kTargetLeaveDelay = std::chrono::milliseconds(700);

/// Times of the steps of a stop, measured from its start.
struct StopTimes {
  Duration target_service_limit;  ///< The local target stops taking new calls from other nodes.
  Duration notice;                ///< Callers are no longer served as usual.
  Duration drain_limit;           ///< Calls that still run are abandoned.
  Duration process_limit;         ///< The process ends unconditionally.
};

/// If a kill follows the stop (`stop_grace`), each time is also at most a share of the time until
/// then: callers leave in its first half, calls end well before its end, and the rest is a margin
/// for a slow machine. The target leaves before the callers' notice ends, so that most calls that
/// it runs end by then.
inline StopTimes StopTimesOf(const NodeSettings& settings) {
  constexpr Duration kProcessEndDelay = std::chrono::seconds(3);
  constexpr double kNoticeShare = 0.5;
  constexpr double kDrainShare = 0.86;
  constexpr double kProcessShare = 0.93;
  /// An event loop that was held up for less goes unnoticed, so the stop may have begun earlier.
  constexpr Duration kUnnoticedDelay = std::chrono::milliseconds(50);
  const auto service_limit = [](Duration notice) {
    return std::max(Duration::zero(), notice - kTargetLeaveDelay);
  };
  const StopTimes configured{service_limit(settings.stop_notice), settings.stop_notice,
                             settings.stop_limit, settings.stop_limit + kProcessEndDelay};
  const Duration grace = settings.stop_grace;
  if (grace == Duration::zero()) return configured;
  const auto share = [grace](double fraction) {
    return std::chrono::duration_cast<Duration>(grace * fraction);
  };
  const Duration notice = std::max(
      Duration::zero(), std::min(configured.notice, share(kNoticeShare)) - kUnnoticedDelay);
  return {service_limit(notice), notice, std::min(configured.drain_limit, share(kDrainShare)),
          std::min(configured.process_limit, share(kProcessShare))};
}

}  // namespace fireflyrun::node
