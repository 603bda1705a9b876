#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "records/weighted_service.h"

namespace fireflyrun::records {

/// Calls selected by host and path prefix, and the services that handle them.
struct RouteRecord {
  std::string name;
  std::string host;    ///< Empty is any host; without a port, any port.
  std::string prefix;  ///< Begins and ends with "/"; compared byte for byte.
  /// Why the route's calls are refused; empty if they aren't. Only the host and the prefix are used
  /// then, and the prefix needs no "/" at its end.
  std::string refusal;
  std::vector<WeightedService> services;
  std::string priority;         ///< Name of a priority record.
  std::string retry_allowance;  ///< Name of a retry allowance record.
  bool idempotent = false;
  int max_attempts = 1;  ///< Targets that one call may be sent to; 1 to 10.
  std::optional<std::chrono::milliseconds> timeout;
  std::optional<std::chrono::milliseconds> target_latency;
};

}  // namespace fireflyrun::records
