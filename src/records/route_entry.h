#pragma once

#include <string>
#include <vector>

#include "records/weighted_policy.h"

namespace fireflyrun::records {

/// A route record in force. At least one part has a weight above 0.
struct RouteEntry {
  std::string name;
  std::vector<WeightedPolicy> policies;
  std::vector<int>
      weights;  ///< Those of `policies`, in their order, for policy::WeightedRoundRobin.
};

}  // namespace fireflyrun::records
