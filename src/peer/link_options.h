#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/clock.h"

namespace fireflyrun::peer {

/// Identity and limits of one node's links.
struct LinkOptions {
  std::string cluster;
  std::string node;
  std::uint64_t incarnation = 0;
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t max_body_bytes = std::size_t{8} << 20;
  std::size_t chunk_bytes = std::size_t{32} << 10;  ///< Small calls pass between two chunks.
  std::size_t retained_answer_bytes = std::size_t{8} << 20;
  Duration heartbeat_period = std::chrono::milliseconds(150);
  Duration silence_limit = std::chrono::milliseconds(600);  ///< Then the link is replaced.
  Duration connect_limit = std::chrono::milliseconds(1000);
  /// Calls already sent end with kUnknown when nothing was heard from their node for so long.
  Duration give_up_limit = std::chrono::milliseconds(2000);
  Duration idle_limit = std::chrono::seconds(60);
};

}  // namespace fireflyrun::peer
