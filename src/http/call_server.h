#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "http/call_server_counters.h"
#include "http/call_server_options.h"
#include "http/exchange.h"
#include "http/request.h"

namespace fireflyrun::http {

class CallServerCore;

/// The HTTP/1.1 server for callers, on the given event loop. Beside what Server does, its limits
/// can change while it runs, it keeps idle time and header time apart, it goes on accepting after
/// an error, and it answers `Expect: 100-continue`.
///
/// A request that is malformed, too large or too slow is answered 4xx with `Connection: close` and
/// never reaches the handler, nor does one whose caller has left before it was read.
class CallServer {
 public:
  using Handler = std::function<void(Request, std::shared_ptr<Exchange>)>;

  CallServer(asio::io_context& loop, CallServerOptions options, Handler handler);
  ~CallServer();
  CallServer(const CallServer&) = delete;
  CallServer& operator=(const CallServer&) = delete;

  /// Binds and listens, also after Close(); the error names the address and the operating system's
  /// reason.
  tl::expected<void, std::string> Start();

  /// The bound port, valid after Start().
  std::uint16_t Port() const;

  /// Changes the limits; an open connection follows them from its next request on.
  void SetLimits(const CallServerLimits& limits);

  /// Lets each further response say `Connection: close`, while connections are still accepted.
  void BeginDrain();

  /// Accepts those connections that wait already, and no further one. Open ones go on until their
  /// next response, which says `Connection: close`.
  void StopAccepting();

  /// Closes one connection without answering its open exchange; its caller counts as gone.
  void CloseConnection(std::uint64_t connection_id);

  /// Requests received whose responses are not yet written to the operating system.
  std::size_t OpenExchanges() const;
  std::size_t OpenConnections() const;
  const CallServerCounters& Counters() const;

  /// Closes every connection; hooks for gone callers do not run. Call when OpenExchanges() is 0 for
  /// a graceful stop.
  void Close();

 private:
  std::shared_ptr<CallServerCore> core;
};

}  // namespace fireflyrun::http
