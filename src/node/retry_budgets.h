#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "policy/fleet_retry_bound.h"
#include "policy/retry_budget.h"
#include "policy/windowed_retry_budget.h"
#include "records/call_policy.h"

namespace fireflyrun::node {

/// The retries that this node's calls may still make: one budget for each service and retry
/// allowance record, kept across changes of the record, and, where the fleet's retries are bounded,
/// this node's share of them for the service. A retry needs both.
class RetryBudgets {
 public:
  /// `free_retry_held`: see policy::FreeRetryEligibility.
  RetryBudgets(const policy::FleetRetryBound& fleet_bound, std::function<bool()> free_retry_held);

  void OnSuccess(const records::CallPolicy& route);
  /// Spends one retry; false if less than one is left.
  bool TrySpend(const records::CallPolicy& route);
  double Available(const records::CallPolicy& route);
  /// The sum over all services and records.
  double Available();

 private:
  struct Entry {
    std::string service;
    double success_ratio;
    int burst;
    policy::RetryBudget budget;
  };

  Entry& EntryOf(const records::CallPolicy& route);
  policy::WindowedRetryBudget& FleetBudgetOf(const std::string& service);
  double AvailableOf(const Entry& entry);

  policy::FleetRetryBound bound;
  std::function<bool()> has_free_retry;
  std::unordered_map<std::string, Entry> entries;
  std::unordered_map<std::string, policy::WindowedRetryBudget> fleet_budgets;  ///< By service.
};

}  // namespace fireflyrun::node
