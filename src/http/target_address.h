#pragma once

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"

namespace fireflyrun::http {

class TargetConnection;
class TargetExchange;
struct TargetRequest;
struct TargetClientCounters;
struct TargetClientOptions;

/// What TargetClient keeps for one address: its idle connections, the newest last, and the requests
/// that wait for one.
class TargetAddress {
 public:
  using ConnectionPointer = std::shared_ptr<TargetConnection>;

  /// `ip_and_port` is an endpoint in the sense of IsEndpoint().
  TargetAddress(const std::string& ip_and_port, const TargetClientOptions& client_options,
                TargetClientCounters& client_counters);
  TargetAddress(const TargetAddress&) = delete;
  TargetAddress& operator=(const TargetAddress&) = delete;

  const asio::ip::tcp::endpoint& Endpoint() const { return this->endpoint; }

  /// Counts a connection that isn't idle: one just opened, or one that was closed in use.
  void CountOpened() { ++this->open_connections; }
  void CountClosed() { --this->open_connections; }

  /// The newest idle connection that is fit for the request, or null.
  ConnectionPointer TakeIdle(const TargetRequest& request);

  /// Keeps a connection for other requests, for as long as its target is sure to keep it; gives the
  /// time at which CloseExpired() is due.
  SteadyTime KeepIdle(const ConnectionPointer& connection,
                      std::optional<Duration> keep_alive_timeout);

  /// Closes an idle connection that the target has closed or written to.
  void CloseDead(const ConnectionPointer& connection);

  void CloseExpired(SteadyTime now);
  void CloseAll();

  /// Closes idle connections beyond the limits.
  void ApplyLimits();

  /// True when another connection may be opened; closes an idle one to make room.
  bool MakeRoom();

  /// The earliest time at which CloseExpired() is due.
  SteadyTime NextExpiry() const;

  bool Unused() const { return this->open_connections == 0 && this->waiting.empty(); }

  std::deque<TargetExchange*> waiting;

 private:
  void Close(std::size_t position);

  asio::ip::tcp::endpoint endpoint;
  const TargetClientOptions& options;
  TargetClientCounters& counters;
  std::size_t open_connections = 0;  ///< Connecting, in use or idle.
  std::vector<ConnectionPointer> idle;
};

}  // namespace fireflyrun::http
