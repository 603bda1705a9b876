#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "common/clock.h"
#include "http/call_server_limits.h"
#include "policy/held_bytes.h"

namespace fireflyrun::http {

/// Where a CallServer listens and what it accepts.
struct CallServerOptions {
  std::string address = "127.0.0.1";  ///< IP number.
  std::uint16_t port = 0;             ///< 0 lets the operating system choose.
  /// A further connection replaces the longest idle one, or is answered 503. 0: no limit.
  std::size_t max_connections = 0;
  /// TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged, or the far end's window closed,
  /// before the connection counts as lost. Not below CallServerLimits::write_timeout, or a slow
  /// reader is cut off early.
  Duration unacknowledged_timeout = std::chrono::seconds(10);
  CallServerLimits limits;
  /// Counts requests and responses; may be null. Without room for a request, it is answered 503
  /// before it is read in full.
  std::shared_ptr<policy::HeldBytes> held_bytes;
};

}  // namespace fireflyrun::http
