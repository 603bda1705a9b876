#pragma once

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"

namespace fireflyrun::http {

class TargetAddress;
class TargetExchange;

/// One connection of TargetClient. Reads and writes never block: each says "would block", and the
/// hooks tell when to go on. The read side is watched from the connect to the close, also while
/// the connection is idle, so that its end is noticed without a read of its own.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  struct Hooks {
    std::function<void(TargetConnection&, const asio::error_code&)> on_connected;
    std::function<void(TargetConnection&)> on_readable;
    std::function<void(TargetConnection&)> on_writable;
  };

  TargetConnection(asio::io_context& loop, TargetAddress& target_address,
                   std::shared_ptr<const Hooks> event_hooks);
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  /// Begins to connect; fails only where no socket can be had.
  asio::error_code Connect(Duration unacknowledged_limit);

  /// True when neither a byte nor the connection's end is waiting to be read.
  bool IsQuiet();

  std::size_t Write(const std::array<asio::const_buffer, 2>& buffers, asio::error_code& error);
  std::size_t Read(const asio::mutable_buffer& buffer, asio::error_code& error);

  void WatchReads();
  void WatchWrites();

  /// Ends the connection; no hook runs from now on. What waits to be sent still goes out.
  void Close();

  /// Ends the connection with a reset, so that the target gets nothing of what waits to be sent.
  void Abort();

  TargetAddress& Address() { return this->address; }

  /// Remembers the echo of a request that was answered with a failure. Were the request sent again
  /// here, that answer, given once more, would pass for the new one.
  void AddFailure(const std::string& echo);
  bool HasFailed(std::string_view echo) const;
  /// False once the connection can't remember another failure.
  bool MayFailAgain() const;

  TargetExchange* exchange = nullptr;  ///< The request that uses the connection; null while idle.
  SteadyTime idle_since;
  SteadyTime usable_until;

 private:
  asio::error_code WatchAnew();

  asio::ip::tcp::socket socket;
  TargetAddress& address;
  std::shared_ptr<const Hooks> hooks;
  bool watches_writes = false;
  bool closed = false;
  std::vector<std::string> failed_echoes;
};

}  // namespace fireflyrun::http
