#pragma once

#include <optional>

#include "common/clock.h"

namespace fireflyrun::policy {

/// The part of a planned stop in which calls still run.
struct DrainWindow {
  SteadyTime notice_end;  ///< Until here callers are served as usual.
  SteadyTime drain_end;   ///< Calls that still run are given up.
};

/// A call that is about to be sent to a target, for the first time or once more.
struct DrainCall {
  bool at_most_once = false;
  SteadyTime deadline;
  std::optional<Duration> longest_time;  ///< Of recent calls of its kind; empty if there were none.
};

/// Decides whether a stopping node still starts a call. What it starts must have its whole answer
/// before the process ends; what may be cut off is refused while it is still true that it has not
/// run.
///
/// Answers the load of a planned stop: callers that haven't left yet, calls that the local target
/// makes for requests that it still runs, and repeats of calls that were refused elsewhere.
///
/// After the notice a call starts if its deadline is within the drain. Beyond that, a call that may
/// be repeated starts if `kTimeFactor` times its kind's longest recent time is left; one that must
/// run at most once does not start.
class DrainPolicy {
 public:
  /// Calls may take longer than any that were seen.
  static constexpr int kTimeFactor = 2;

  static bool MayStart(const DrainWindow& window, const DrainCall& call, SteadyTime now);
};

}  // namespace fireflyrun::policy
