#pragma once

#include <cstdint>

namespace fireflyrun::peer {

/// Totals since the start of one LinkPool or LinkServer.
struct LinkCounters {
  std::uint64_t links_opened = 0;
  std::uint64_t links_replaced = 0;  ///< Closed for silence, or superseded at the called node.
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t calls = 0;                 ///< Sent, or given to the hook.
  std::uint64_t late_answers_dropped = 0;  ///< Answers that nobody waits for any more.
  std::uint64_t voided_ids = 0;
  std::uint64_t calls_dropped = 0;  ///< Duplicate, voided or damaged calls kept from the hook.
};

}  // namespace fireflyrun::peer
