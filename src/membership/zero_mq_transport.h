#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/timer_service.h"
#include "membership/zero_mq_transport_options.h"

namespace fireflyrun::membership {

/// Carries control messages over ZeroMQ: one PULL socket receives, one PUSH socket for each recent
/// peer sends. Used only on the event loop's thread; ZeroMQ runs one I/O thread of its own.
class ZeroMqTransport {
 public:
  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t dropped_full = 0;         ///< The peer's queue was full.
    std::uint64_t dropped_unconnected = 0;  ///< No connection to the peer within the timeout.
    std::uint64_t evicted = 0;              ///< Sending sockets closed to make room.
  };
  using ReceiveHook = std::function<void(std::string_view)>;

  /// Binds the address; throws std::runtime_error if that fails. `receive` is called only from the
  /// event loop.
  ZeroMqTransport(TimerService& timers, ZeroMqTransportOptions options, ReceiveHook receive);
  ~ZeroMqTransport();
  ZeroMqTransport(const ZeroMqTransport&) = delete;
  ZeroMqTransport& operator=(const ZeroMqTransport&) = delete;

  /// Sends to IP:PORT; never blocks. Messages may be dropped (counted).
  void Send(const std::string& address, std::string bytes);

  /// The bound port.
  std::uint16_t Port() const;
  const Counters& GetCounters() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace fireflyrun::membership
