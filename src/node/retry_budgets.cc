#include "node/retry_budgets.h"

namespace fireflyrun::node {

policy::RetryBudget& RetryBudgets::Of(const records::RoutePolicy& route) {
  const records::RetryPolicy& policy = route.retry;
  const std::string name = route.service + '/' + policy.name;
  const auto found = this->entries.find(name);
  if (found == this->entries.end()) {
    const Entry entry{policy.success_ratio, policy.burst,
                      policy::RetryBudget(policy.success_ratio, policy.burst)};
    return this->entries.emplace(name, entry).first->second.budget;
  }
  Entry& entry = found->second;
  if (entry.success_ratio != policy.success_ratio || entry.burst != policy.burst) {
    entry.success_ratio = policy.success_ratio;
    entry.burst = policy.burst;
    entry.budget.Reconfigure(policy.success_ratio, policy.burst);
  }
  return entry.budget;
}

double RetryBudgets::Available() const {
  double sum = 0;
  for (const auto& [key, entry] : this->entries) sum += entry.budget.Available();
  return sum;
}

}  // namespace fireflyrun::node
