#pragma once

#include "records/call_policy.h"

namespace fireflyrun::records {

/// One service of a route, with its weight and the policy for calls to it.
struct WeightedPolicy {
  double weight = 0;
  CallPolicy policy;
};

}  // namespace fireflyrun::records
