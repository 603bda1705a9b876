#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <tl/expected.hpp>

#include "http/client_error.h"
#include "http/client_request.h"
#include "http/response.h"

namespace fireflyrun::http {

/// An HTTP client on the given event loop (libcurl's multi interface underneath). Connections are
/// kept and reused by address. A response must tell its length or come in chunks: one that ends
/// with its connection can't be told from a broken one and gives kConnectionLost. Handlers run on
/// the loop, never inside Send(), exactly once, and not at all after the client is destroyed.
class Client {
 public:
  using RequestId = std::uint64_t;
  using Handler = std::function<void(tl::expected<Response, ClientError>)>;
  using ChunkHandler = std::function<void(std::string_view)>;

  /// Keeps at most `max_idle_connections` open between requests.
  Client(asio::io_context& loop, std::size_t max_idle_connections);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  RequestId Send(ClientRequest request, Handler handler);

  /// Like Send(), but hands over the body in pieces as they arrive; the response's body is empty
  /// and its size not limited. A zero timeout means none.
  RequestId Stream(ClientRequest request, ChunkHandler on_chunk, Handler on_end);

  /// Ends the request; its handler gets kCancelled. Unknown ids are ignored.
  void Cancel(RequestId id);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::http
