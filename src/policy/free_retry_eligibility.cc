#include "policy/free_retry_eligibility.h"

namespace fireflyrun::policy {

void FreeRetryEligibility::OnFleetSummary(const FleetSummary& summary, SteadyTime now) {
  const bool view_incomplete =
      !summary.discovered_all_members || 2 * summary.reachable <= summary.members;
  if (view_incomplete || summary.preceding >= this->bound.FreeRetryHolders()) {
    this->among_holders_since.reset();
  } else if (!this->among_holders_since) {
    this->among_holders_since = now;
  }
}

bool FreeRetryEligibility::IsEligible(SteadyTime now) const {
  const Duration required_time = kPropagationTime + this->bound.window;
  return this->among_holders_since && now - *this->among_holders_since >= required_time;
}

}  // namespace fireflyrun::policy
