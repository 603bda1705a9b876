#include "policy/free_retry_eligibility.h"

namespace fireflyrun::policy {

void FreeRetryEligibility::OnFleetSummary(const FleetSummary& summary, SteadyTime now) {
  const bool in_doubt = !summary.knows_all_members || 2 * summary.reachable <= summary.members;
  if (in_doubt || summary.preceding >= this->bound.FreeRetryHolders()) {
    this->among_first_since.reset();
  } else if (!this->among_first_since) {
    this->among_first_since = now;
  }
}

bool FreeRetryEligibility::IsEligible(SteadyTime now) const {
  const Duration wait = kPropagationTime + this->bound.window;
  return this->among_first_since && now - *this->among_first_since >= wait;
}

}  // namespace fireflyrun::policy
