#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "common/clock.h"

namespace fireflyrun::policy {

/// Bounds of a `TicketLedger`'s memory.
struct TicketLedgerLimits {
  Duration window_length = std::chrono::minutes(10);
  std::uint32_t remembered_windows = 4;  ///< Including the current one; at least 2.
  std::size_t entries_per_window = 50'000;
  std::size_t answer_bytes = 8U << 20;  ///< Total size of the retained answers.
};

}  // namespace fireflyrun::policy
