#pragma once

#include <string>

namespace fireflyrun::records {

/// Bounds on retries.
struct RetryAllowanceRecord {
  std::string name;
  int retries_per_request = 0;  ///< For the whole call tree of one root request; 0 to 20.
  double success_ratio = 0;     ///< Retries earned per success on one node; 0 to 1.
  int burst = 0;                ///< Maximum of retries that a node accumulates; 0 to 10000.
};

}  // namespace fireflyrun::records
