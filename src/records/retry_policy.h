#pragma once

#include <string>

namespace fireflyrun::records {

/// The retry allowance in force for a call.
struct RetryPolicy {
  std::string name;             ///< Name of the retry_allowance record.
  int retries_per_request = 0;  ///< Limit for the whole call tree of one root request.
  double success_ratio = 0;     ///< Retries that a node earns per success.
  int burst = 0;                ///< Maximum number of retries that a node holds.
};

}  // namespace fireflyrun::records
