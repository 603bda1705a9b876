#pragma once

#include <cstdint>

namespace fireflyrun::policy {

/// A target node's load, as its answer tells it.
struct ReportedLoad {
  std::uint32_t in_flight = 0;  ///< Started and queued calls, of all callers.
  std::uint32_t limit = 0;      ///< 0: not told.
};

}  // namespace fireflyrun::policy
