#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "http/exchange.h"
#include "http/request.h"
#include "http/server_options.h"

namespace fireflyrun::http {

/// An HTTP/1.1 server on the given event loop (RESTinio underneath). A body over the limit is
/// answered 413 and a malformed request 400, without reaching the handler.
class Server {
 public:
  using Handler = std::function<void(Request, std::shared_ptr<Exchange>)>;

  Server(asio::io_context& loop, ServerOptions options, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Binds and listens; the error names the address and the operating system's reason.
  tl::expected<void, std::string> Start();

  /// The bound port, valid after Start().
  std::uint16_t Port() const;

  /// Accepts no further connection; open ones go on until their next response, which says
  /// `Connection: close`.
  void StopAccepting();

  /// Closes one connection without answering its open exchanges; their callers count as gone.
  void CloseConnection(std::uint64_t connection_id);

  /// Requests received whose responses are not yet written to the operating system.
  std::size_t OpenExchanges() const;

  /// Closes every connection; hooks for gone callers do not run. Call when OpenExchanges() is 0 for
  /// a graceful stop.
  void Close();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::http
