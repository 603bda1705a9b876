#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace fireflyrun::http {

/// The socket type given to RESTinio. RESTinio closes a connection with a malformed or oversized
/// request without a word; this type answers it first.
class ServerSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  explicit ServerSocket(asio::io_context& loop) : Base(loop) {}
  ServerSocket(ServerSocket&& other) noexcept;
  ServerSocket& operator=(ServerSocket&& other) = default;
  ~ServerSocket() = default;

  /// Hides the socket's own function, which RESTinio calls first when it closes a connection.
  void shutdown(shutdown_type what, asio::error_code& error);  // NOLINT(*-identifier-naming)

  /// Called once RESTinio's connection owns the socket. `state_owner` lives as long as the socket;
  /// `make_rejection` gives the response for a status, or "" when none may be sent.
  void Attach(std::shared_ptr<void> state_owner, std::function<std::string(int)> make_rejection);

  /// The thread's socket that was last moved to its place. RESTinio reports a connection accepted
  /// right after it has moved the socket there.
  static ServerSocket* Newest();

  /// The status to answer when the thread's next connection is shut down; 0 for none.
  static void SetRejectionStatus(int status);

 private:
  std::shared_ptr<void> owner;
  std::function<std::string(int)> rejection_text;
};

}  // namespace fireflyrun::http
