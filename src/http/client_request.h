#pragma once

#include <cstddef>
#include <string>

#include "common/clock.h"
#include "http/headers.h"

namespace fireflyrun::http {

/// One request for Client to send.
struct ClientRequest {
  std::string method = "GET";
  std::string url;  ///< `http://IP:PORT/path?query`.
  Headers headers;
  std::string body;
  Duration timeout = std::chrono::seconds(5);
  /// libcurl silently repeats a request whose reused connection turns out dead. A request that may
  /// run at most once sets this, so that it goes out on a connection of its own.
  bool fresh_connection = false;
  std::size_t max_response_bytes = std::size_t{16} << 20;
};

}  // namespace fireflyrun::http
