#include "node/retry_budgets.h"

namespace fireflyrun::node {

policy::RetryBudget& RetryBudgets::Of(const records::RetryPolicy& policy) {
  const auto found = this->entries.find(policy.name);
  if (found == this->entries.end()) {
    const Entry entry{policy.success_ratio, policy.burst,
                      policy::RetryBudget(policy.success_ratio, policy.burst)};
    return this->entries.emplace(policy.name, entry).first->second.budget;
  }
  Entry& entry = found->second;
  if (entry.success_ratio != policy.success_ratio || entry.burst != policy.burst) {
    entry.success_ratio = policy.success_ratio;
    entry.burst = policy.burst;
    entry.budget.Reconfigure(policy.success_ratio, policy.burst);
  }
  return entry.budget;
}

}  // namespace fireflyrun::node
