#pragma once

#include <chrono>
#include <cstddef>

#include "records/call_policy.h"

namespace fireflyrun::records {

/// What a caller may send, and how long it may take over it. The initial values hold as long as no
/// limits record is in force.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} << 10;  ///< Request line and all header fields.
  std::size_t max_body_bytes = kDefaultMaxBodyBytes;     ///< For services that set no own limit.
  std::chrono::milliseconds header_timeout{5000};        ///< From a request's first byte.
  std::chrono::milliseconds idle_timeout{60'000};        ///< Between requests of a connection.

  bool operator==(const CallerLimits&) const = default;
};

}  // namespace fireflyrun::records
