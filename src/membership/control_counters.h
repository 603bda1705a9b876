#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace fireflyrun::membership {

/// Totals of the control traffic since the node started.
struct ControlCounters {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t dropped_malformed = 0;
  std::uint64_t dropped_other_cluster = 0;
  std::uint64_t dropped_queue_full = 0;
  std::map<std::string, std::uint64_t> parts_sent;      ///< By the part's field name.
  std::map<std::string, std::uint64_t> parts_received;  ///< By the part's field name.
};

}  // namespace fireflyrun::membership
