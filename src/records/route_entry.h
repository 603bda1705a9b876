#pragma once

#include <string>
#include <vector>

#include "records/weighted_policy.h"

namespace fireflyrun::records {

/// A route record in force. At least one of its services has a weight above 0, unless its calls are
/// refused.
struct RouteEntry {
  std::string name;
  std::string refusal;                   ///< Why its calls are refused; empty if they aren't.
  std::vector<WeightedPolicy> policies;  ///< One per service.
  /// Weights of `policies`, in the same order, for policy::WeightedRoundRobin.
  std::vector<double> weights;
};

}  // namespace fireflyrun::records
