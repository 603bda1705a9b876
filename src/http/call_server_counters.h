#pragma once

#include <cstdint>

namespace fireflyrun::http {

/// Callers that closed their connections before a CallServer had answered, since its start.
struct CallServerCounters {
  std::uint64_t callers_gone_unread = 0;   ///< Their requests had not been read, and are dropped.
  std::uint64_t callers_gone_waiting = 0;  ///< Their requests were in progress.
};

}  // namespace fireflyrun::http
