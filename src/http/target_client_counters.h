#pragma once

#include <cstdint>

namespace fireflyrun::http {

/// What a TargetClient has done since its start.
struct TargetClientCounters {
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_reused = 0;  ///< Requests written to a connection that was idle.
  /// Idle connections that the target closed or wrote to unasked.
  std::uint64_t connections_found_dead = 0;
  std::uint64_t stray_answers_skipped = 0;
};

}  // namespace fireflyrun::http
