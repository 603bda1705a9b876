#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "common/clock.h"

namespace fireflyrun::membership {

/// Address and limits of a ZeroMqTransport.
struct ZeroMqTransportOptions {
  std::string ip;
  std::uint16_t port = 0;      ///< 0: chosen by the operating system.
  std::size_t max_peers = 24;  ///< Open PUSH sockets; the least recently used is closed first.
  int high_water_mark = 16;    ///< Messages that a PUSH socket buffers.
  /// Messages queued for a peer whose socket accepts none yet.
  std::size_t max_waiting_messages = 16;
  Duration retry_period = std::chrono::milliseconds(5);
  Duration connect_timeout = std::chrono::seconds(2);  ///< After it queued messages are dropped.
  std::size_t max_message_bytes = std::size_t{256} * 1024;
};

}  // namespace fireflyrun::membership
