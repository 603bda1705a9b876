#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace fireflyrun::http {

/// Where a server listens and what it accepts.
struct ServerOptions {
  std::string address = "127.0.0.1";  ///< IP number.
  std::uint16_t port = 0;             ///< 0 lets the operating system choose.
  std::size_t max_body_bytes = 0;     ///< A larger body is answered 413.
  std::size_t max_connections = 0;    ///< Further connections wait to be accepted; 0: no limit.
};

}  // namespace fireflyrun::http
