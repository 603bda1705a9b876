#pragma once

#include <string>

#include "records/call_policy.h"

namespace fireflyrun::records {

/// One service of a route, with its weight and the policy for calls to it.
struct WeightedPolicy {
  double weight = 0;
  std::string refusal;  ///< Why its share of the calls is refused; empty if it isn't.
  CallPolicy policy;
};

}  // namespace fireflyrun::records
