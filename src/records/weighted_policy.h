#pragma once

#include "records/call_policy.h"

namespace fireflyrun::records {

/// One service of a route, with the policy of the calls that it takes.
struct WeightedPolicy {
  int weight = 0;
  CallPolicy policy;
};

}  // namespace fireflyrun::records
