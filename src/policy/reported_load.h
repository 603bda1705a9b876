#pragma once

#include <cstdint>

namespace fireflyrun::policy {

/// A target node's load, as reported in its answer.
struct ReportedLoad {
  std::uint32_t in_flight = 0;  ///< Started and queued calls of all callers.
  std::uint32_t limit = 0;      ///< Concurrency limit; 0: not reported.
};

}  // namespace fireflyrun::policy
