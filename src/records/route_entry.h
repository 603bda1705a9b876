#pragma once

#include <string>
#include <vector>

#include "records/weighted_policy.h"

namespace fireflyrun::records {

/// A route record in force. At least one of its services has a weight above 0.
struct RouteEntry {
  std::string name;
  std::vector<WeightedPolicy> policies;  ///< One per service in force.
  /// Weights of `policies`, in the same order, for policy::WeightedRoundRobin.
  std::vector<double> weights;
};

}  // namespace fireflyrun::records
