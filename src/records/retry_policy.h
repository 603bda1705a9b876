#pragma once

#include <string>

namespace fireflyrun::records {

/// The retry allowance in force for a call.
struct RetryPolicy {
  std::string name;
  int retries_per_request = 0;  ///< For the whole call tree of one root request.
  double success_ratio = 0;     ///< Retries earned per success on one node.
  int burst = 0;                ///< Maximum of retries that a node accumulates.
};

}  // namespace fireflyrun::records
