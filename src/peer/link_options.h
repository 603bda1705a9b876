#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "common/clock.h"
#include "policy/held_bytes.h"

namespace fireflyrun::peer {

/// Identity and limits of one node's links.
struct LinkOptions {
  std::string cluster;
  std::string node;
  std::uint64_t incarnation = 0;
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t max_body_bytes = std::size_t{8} << 20;
  /// Bodies are split into chunks of this size, so that small calls can be sent between them.
  std::size_t chunk_bytes = std::size_t{32} << 10;
  std::size_t retained_answer_bytes = std::size_t{8} << 20;
  /// Counts the calls and answers that arrive, and answers until they are sent and acknowledged;
  /// may be null. Those without room are refused or given up.
  std::shared_ptr<policy::HeldBytes> held_bytes;
  Duration heartbeat_period = std::chrono::milliseconds(150);
  /// A link with pending calls sends a heartbeat at least this often, whatever else it sends.
  Duration max_heartbeat_interval = std::chrono::seconds(1);
  /// A connection on which nothing is received for this long is replaced.
  Duration silence_timeout = std::chrono::milliseconds(600);
  Duration connect_timeout = std::chrono::milliseconds(1000);
  /// Calls already sent end with kUnknown if nothing is received from their node for this long.
  Duration give_up_timeout = std::chrono::milliseconds(2000);
  Duration idle_timeout = std::chrono::seconds(60);
};

}  // namespace fireflyrun::peer
