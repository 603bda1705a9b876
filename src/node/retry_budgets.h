#pragma once

#include <string>
#include <unordered_map>

#include "policy/retry_budget.h"
#include "records/route_policy.h"

namespace fireflyrun::node {

/// One retry budget for each service and retry allowance record, kept over changes of the record.
class RetryBudgets {
 public:
  policy::RetryBudget& Of(const records::RoutePolicy& route);
  /// Over all of them.
  double Available() const;

 private:
  struct Entry {
    double success_ratio;
    int burst;
    policy::RetryBudget budget;
  };

  std::unordered_map<std::string, Entry> entries;
};

}  // namespace fireflyrun::node
