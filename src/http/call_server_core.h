#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "common/clock.h"
#include "http/call_server.h"
#include "http/call_server_options.h"

namespace fireflyrun::http {

class CallConnection;

/// The state that a CallServer shares with its connections: the listener, the list of connections
/// and the one timer for all their deadlines.
class CallServerCore : public std::enable_shared_from_this<CallServerCore> {
 public:
  CallServerCore(asio::io_context& event_loop, CallServerOptions server_options,
                 CallServer::Handler request_handler);

  tl::expected<void, std::string> Start();
  void StopAccepting();
  void CloseConnection(std::uint64_t id);
  void Close();

  void BeginDrain() { this->draining = true; }
  void SetLimits(const CallServerLimits& limits) { this->options.limits = limits; }
  std::uint16_t Port() const { return this->port; }
  std::size_t OpenExchanges() const { return this->open_exchanges; }
  std::size_t OpenConnections() const { return this->idle.size() + this->busy.size(); }

  // For its connections:
  asio::io_context& Loop() { return this->loop; }
  const CallServerLimits& Limits() const { return this->options.limits; }
  /// Null if bodies aren't counted.
  const std::shared_ptr<policy::HeldBytes>& Held() const { return this->options.held_bytes; }
  bool Draining() const { return this->draining; }
  void Handle(Request request, std::shared_ptr<Exchange> exchange);
  void EndExchange() { --this->open_exchanges; }
  CallServerCounters& Counters() { return this->counters; }
  void MarkBusy(CallConnection& connection);
  void MarkIdle(CallConnection& connection);
  void MarkClosing(CallConnection& connection);
  void Remove(CallConnection& connection);
  /// Sees to it that deadlines are looked at soon after this one.
  void SweepBy(SteadyTime deadline);

 private:
  using Connections = std::list<std::shared_ptr<CallConnection>>;

  void Accept();
  void OnAccept(const asio::error_code& error, asio::ip::tcp::socket socket);
  void Adopt(asio::ip::tcp::socket socket, const asio::ip::tcp::endpoint& remote);
  bool MakeRoom();
  void AcceptBacklog();
  void RetryAccept(const asio::error_code& error);
  bool CloseOneIdle();
  Connections AllConnections() const;
  void Sweep();

  asio::io_context& loop;
  CallServerOptions options;
  CallServer::Handler handler;
  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::endpoint accepted_endpoint;
  asio::steady_timer accept_timer;
  asio::steady_timer sweep_timer;
  SteadyTime sweep_at = SteadyTime::max();
  Connections idle;  ///< Longest idle first.
  Connections busy;
  Connections closing;  ///< Their last responses are sent; they do not count as open.
  std::uint64_t last_id = 0;
  std::size_t open_exchanges = 0;
  CallServerCounters counters;
  std::uint16_t port = 0;
  bool draining = false;
  bool closed = false;
};

}  // namespace fireflyrun::http
