#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "common/clock.h"

namespace fireflyrun::membership {

/// Bounds of a ZeroMqTransport.
struct ZeroMqTransportOptions {
  std::string ip;
  std::uint16_t port = 0;        ///< 0: the operating system chooses.
  std::size_t max_peers = 24;    ///< Open sending sockets; the one longest unused is closed.
  int high_water_mark = 16;      ///< Messages a sending socket holds.
  std::size_t max_waiting = 16;  ///< Messages a peer not yet connected may have waiting.
  Duration retry_period = std::chrono::milliseconds(5);
  Duration connect_timeout = std::chrono::seconds(2);  ///< Then waiting messages are dropped.
  std::size_t max_message_bytes = std::size_t{256} * 1024;
};

}  // namespace fireflyrun::membership
