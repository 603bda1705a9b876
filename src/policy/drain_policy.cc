#include "policy/drain_policy.h"

namespace fireflyrun::policy {

bool DrainPolicy::MayStart(const DrainWindow& window, SteadyTime deadline, SteadyTime now) {
  return now < window.notice_end || deadline <= window.drain_end;
}

}  // namespace fireflyrun::policy
