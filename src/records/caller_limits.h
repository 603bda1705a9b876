#pragma once

#include <chrono>
#include <cstddef>

#include "records/call_policy.h"

namespace fireflyrun::records {

/// Limits on the size and timing of callers' requests. The default values apply while no limits
/// record is in force.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} << 10;  ///< Request line and all header fields.
  std::size_t max_body_bytes = kDefaultMaxBodyBytes;     ///< Unless the service sets its own.
  std::chrono::milliseconds header_timeout{5000};        ///< From a request's first byte.
  std::chrono::milliseconds idle_timeout{60'000};        ///< Between requests on a connection.

  bool operator==(const CallerLimits&) const = default;
};

}  // namespace fireflyrun::records
