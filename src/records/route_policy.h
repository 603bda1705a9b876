#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "records/retry_policy.h"

namespace fireflyrun::records {

inline constexpr std::size_t kDefaultMaxBodyBytes = std::size_t{16} << 20;

/// What the records in force say about one call.
struct RoutePolicy {
  std::string service;
  std::string class_name;  ///< Name of the priority record.
  int rank = 0;            ///< 0 is shed last.
  bool may_leave_region = false;
  bool idempotent = false;
  std::chrono::milliseconds deadline{0};
  std::size_t max_body_bytes = kDefaultMaxBodyBytes;
  RetryPolicy retry;
};

}  // namespace fireflyrun::records
