#pragma once

#include <cstdint>

#include "common/clock.h"

namespace fireflyrun::peer {

/// Totals since the start of a LinkPool or LinkServer.
struct LinkCounters {
  std::uint64_t links_opened = 0;
  std::uint64_t links_replaced = 0;  ///< Timed out, or superseded at the called node.
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t calls = 0;                 ///< Sent, or passed to the hook.
  std::uint64_t late_answers_dropped = 0;  ///< Answers to calls that are no longer pending.
  std::uint64_t voided_ids = 0;
  std::uint64_t calls_dropped = 0;     ///< Duplicate, voided, damaged or too long; not run.
  std::uint64_t cancels = 0;           ///< Of calls that may have arrived: sent, or received.
  std::uint64_t cancels_repeated = 0;  ///< Sent again, as their connection was lost.
  std::uint64_t calls_orphaned = 0;    ///< Open when their caller's node was gone.
  std::uint64_t calls_timed = 0;       ///< Arrived with an expiry by this node's clock.
  std::uint64_t calls_expired = 0;     ///< Of those, arrived after it.
  Duration transit_time{};             ///< Of the timed calls, from their writing to their reading.
};

}  // namespace fireflyrun::peer
