#pragma once

#include <cstddef>
#include <string>

#include "common/clock.h"
#include "http/headers.h"

namespace fireflyrun::http {

/// One request for TargetClient to send.
struct TargetRequest {
  std::string address;  ///< `IP:PORT`.
  std::string method = "GET";
  std::string target = "/";  ///< Path and query, sent byte for byte.
  /// Sent as given, but for headers of one connection or of the framing, which are dropped. `Host`
  /// is added where it is missing.
  Headers headers;
  std::string body;
  SteadyTime deadline;  ///< Nothing is sent from then on.
  /// Name of a header that tells the milliseconds left when the request is written; may be empty.
  std::string deadline_header;
  std::size_t max_response_bytes = std::size_t{16} << 20;
  /// The target may run it twice.
  bool repeatable = false;
  /// The answer must carry this header with this value; an answer with another value belongs to
  /// another request. An empty name expects nothing.
  Header echo_header;
};

}  // namespace fireflyrun::http
