#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <tl/expected.hpp>

#include "http/client_error.h"
#include "http/response.h"
#include "http/target_client_counters.h"
#include "http/target_client_options.h"
#include "http/target_request.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::http {

/// An HTTP/1.1 client for targets, which break connections, answer late and must not run some
/// requests twice. It stands beside Client, because libcurl repeats a request by itself when its
/// reused connection breaks: a DELETE whose answer is lost by a reset arrives at the target twice
/// (see TargetClientReuseTest). libcurl also can't skip a stray answer, nor tell whether any byte
/// of a request was written.
///
/// A request whose first byte was written is never sent again here. The error kinds tell what the
/// target may have seen: after kNotSent nothing, after any other kind it may have run the request.
///
/// Handlers run on the loop, never inside Send(), exactly once, and not at all after Cancel() or
/// after the client is destroyed.
class TargetClient {
 public:
  using RequestId = std::uint64_t;
  using Handler = std::function<void(tl::expected<Response, ClientError>)>;

  TargetClient(TimerService& timers, TargetClientOptions options);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  RequestId Send(TargetRequest request, Handler handler);

  /// Ends the request and closes its connection at once. Unknown ids are ignored.
  void Cancel(RequestId id);

  /// Ends the request if no byte of it has been written; false if the target may have seen it, or
  /// the id is unknown.
  bool CancelUnsent(RequestId id);

  /// Limits the connections to each address; requests beyond wait in order until their deadline.
  void SetMaxConnections(std::size_t max_connections);

  /// Bytes of answers in progress.
  std::size_t HeldBytes() const;
  const TargetClientCounters& Counters() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::http
