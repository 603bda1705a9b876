#pragma once

#include "common/clock.h"

namespace fireflyrun::policy {

/// The part of a planned stop in which calls still run.
struct DrainWindow {
  SteadyTime notice_end;  ///< Until here callers are served as usual.
  SteadyTime drain_end;   ///< Calls that still run are given up.
};

/// Decides whether a stopping node still starts a call, for the first time or once more. What it
/// starts must have its whole answer, or have used its time, before the process ends; what may be
/// cut off is refused while it is still true that it has not run.
///
/// Answers the load of a planned stop: callers that haven't left yet, calls that the local target
/// makes for requests that it still runs, and repeats of calls that were refused elsewhere.
///
/// After the notice a call starts if its deadline is within the drain. How long such calls took
/// before doesn't count: the next may take many times as long, and would be cut off.
class DrainPolicy {
 public:
  static bool MayStart(const DrainWindow& window, SteadyTime deadline, SteadyTime now);
};

}  // namespace fireflyrun::policy
