#pragma once

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "common/clock.h"
#include "http/client.h"

namespace fireflyrun::http {

/// Runs the loop until `done` holds; false when ten seconds pass first.
inline bool RunUntil(asio::io_context& loop, const std::function<bool()>& done) {
  const SteadyTime deadline = SteadyClock::now() + std::chrono::seconds(10);
  while (!done()) {
    if (SteadyClock::now() > deadline) return false;
    loop.restart();
    loop.run_one_until(deadline);
  }
  return true;
}

using Result = tl::expected<Response, ClientError>;

/// Sends and waits for the result.
inline std::optional<Result> Fetch(asio::io_context& loop, Client& client, ClientRequest request) {
  std::optional<Result> result;
  client.Send(std::move(request), [&](Result ended) { result = std::move(ended); });
  RunUntil(loop, [&] { return result.has_value(); });
  return result;
}

inline std::string Url(std::uint16_t port, const std::string& target = "/") {
  return "http://127.0.0.1:" + std::to_string(port) + target;
}

/// A connection that speaks plain text, at either end.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
 public:
  explicit RawConnection(asio::ip::tcp::socket connected) : socket(std::move(connected)) {}

  static std::shared_ptr<RawConnection> Connect(asio::io_context& loop, std::uint16_t port) {
    asio::ip::tcp::socket socket(loop);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    auto connection = std::make_shared<RawConnection>(std::move(socket));
    connection->Read();
    return connection;
  }

  void Read() {
    this->socket.async_read_some(asio::buffer(this->buffer),
                                 [self = this->shared_from_this()](auto error, auto size) {
                                   self->received.append(self->buffer.data(), size);
                                   self->closed = static_cast<bool>(error);
                                   if (self->on_data) self->on_data();
                                   if (!error && !self->paused) self->Read();
                                 });
  }

  void Write(std::string text) {
    auto kept = std::make_shared<std::string>(std::move(text));
    asio::async_write(this->socket, asio::buffer(*kept),
                      [kept, self = this->shared_from_this()](auto, auto) {});
  }

  /// Ends the connection so that its far end sees a reset.
  void Reset() {
    asio::error_code ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->socket.close(ignored);
  }

  void Close() {
    asio::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
  }

  asio::ip::tcp::socket socket;
  std::array<char, 65536> buffer;
  std::string received;
  bool closed = false;
  bool paused = false;  ///< Set to read no more after the current read.
  std::function<void()> on_data;
};

/// A far end that counts requests without a body and answers each by a script.
class RawServer {
 public:
  using Script = std::function<void(RawConnection&, int request_number)>;

  RawServer(asio::io_context& loop, Script answer)
      : acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0}), script(std::move(answer)) {
    this->Accept();
  }

  std::uint16_t Port() const { return this->port; }

  void Accept() {
    this->acceptor.async_accept([this](auto error, asio::ip::tcp::socket socket) {
      if (error) return;
      ++this->connections;
      auto connection = std::make_shared<RawConnection>(std::move(socket));
      connection->on_data = [this, raw = connection.get()] { this->Serve(*raw); };
      connection->Read();
      this->Accept();
    });
  }

  void Serve(RawConnection& connection) {
    const auto end = connection.received.find("\r\n\r\n");
    if (end == std::string::npos) return;
    this->last_head = connection.received.substr(0, end + 4);
    connection.received.erase(0, end + 4);
    this->script(connection, ++this->requests);
  }

  asio::ip::tcp::acceptor acceptor;
  std::uint16_t port = this->acceptor.local_endpoint().port();
  Script script;
  int connections = 0;
  int requests = 0;
  std::string last_head;  ///< Of the latest request.
};

inline constexpr const char* kWholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

}  // namespace fireflyrun::http
