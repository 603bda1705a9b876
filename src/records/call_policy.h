#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "records/retry_policy.h"

namespace fireflyrun::records {

inline constexpr std::size_t kDefaultMaxBodyBytes = std::size_t{16} << 20;

/// The policy that the records in force define for one call.
struct CallPolicy {
  std::string name;  ///< Name of the route record; empty for a call by service name.
  std::string service;
  std::string class_name;  ///< Name of the priority record.
  int rank = 0;            ///< 0 is shed last.
  bool may_leave_region = false;
  bool idempotent = false;
  std::chrono::milliseconds deadline{0};
  int max_attempts = 0;  ///< Targets that one call may be sent to; 0 if no route limits them.
  std::optional<std::chrono::milliseconds> timeout;         ///< Set by the route.
  std::optional<std::chrono::milliseconds> target_latency;  ///< Set by the route.
  std::size_t max_body_bytes = kDefaultMaxBodyBytes;
  RetryPolicy retry;
};

}  // namespace fireflyrun::records
