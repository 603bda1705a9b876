#include "policy/drain_policy.h"

namespace fireflyrun::policy {

bool DrainPolicy::MayStart(const DrainWindow& window, const DrainCall& call, SteadyTime now) {
  const bool ends_within_drain = call.deadline <= window.drain_end;
  if (now < window.notice_end || ends_within_drain) return true;
  if (call.at_most_once || !call.longest_time) return false;
  return now + kTimeFactor * *call.longest_time <= window.drain_end;
}

}  // namespace fireflyrun::policy
