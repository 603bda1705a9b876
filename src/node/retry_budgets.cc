#include "node/retry_budgets.h"

#include <algorithm>
#include <utility>

#include "common/clock.h"

namespace fireflyrun::node {

RetryBudgets::RetryBudgets(const policy::FleetRetryBound& fleet_bound,
                           std::function<bool()> free_retry_held)
    : bound(fleet_bound), has_free_retry(std::move(free_retry_held)) {}

void RetryBudgets::OnSuccess(const records::CallPolicy& route) {
  this->EntryOf(route).budget.OnSuccess();
  if (this->bound.IsSet()) this->FleetBudgetOf(route.service).OnSuccess(SteadyClock::now());
}

bool RetryBudgets::TrySpend(const records::CallPolicy& route) {
  Entry& entry = this->EntryOf(route);
  if (this->AvailableOf(entry) < 1) return false;
  if (this->bound.IsSet()) {
    this->FleetBudgetOf(route.service).TrySpend(this->has_free_retry(), SteadyClock::now());
  }
  return entry.budget.TrySpend();
}

double RetryBudgets::Available(const records::CallPolicy& route) {
  return this->AvailableOf(this->EntryOf(route));
}

double RetryBudgets::Available() {
  double sum = 0;
  for (const auto& [key, entry] : this->entries) sum += this->AvailableOf(entry);
  return sum;
}

RetryBudgets::Entry& RetryBudgets::EntryOf(const records::CallPolicy& route) {
  const records::RetryPolicy& policy = route.retry;
  const std::string name = route.service + '/' + policy.name;
  const auto found = this->entries.find(name);
  if (found == this->entries.end()) {
    const Entry entry{route.service, policy.success_ratio, policy.burst,
                      policy::RetryBudget(policy.success_ratio, policy.burst)};
    return this->entries.emplace(name, entry).first->second;
  }
  Entry& entry = found->second;
  if (entry.success_ratio != policy.success_ratio || entry.burst != policy.burst) {
    entry.success_ratio = policy.success_ratio;
    entry.burst = policy.burst;
    entry.budget.Reconfigure(policy.success_ratio, policy.burst);
  }
  return entry;
}

policy::WindowedRetryBudget& RetryBudgets::FleetBudgetOf(const std::string& service) {
  return this->fleet_budgets.try_emplace(service, this->bound).first->second;
}

double RetryBudgets::AvailableOf(const Entry& entry) {
  const double available = entry.budget.Available();
  if (!this->bound.IsSet() || available < 1) return available;
  auto& fleet_budget = this->FleetBudgetOf(entry.service);
  return std::min(available, fleet_budget.Available(this->has_free_retry(), SteadyClock::now()));
}

}  // namespace fireflyrun::node
