#pragma once

#include <chrono>
#include <cstddef>

#include "common/clock.h"

namespace fireflyrun::http {

/// What one caller may send to a CallServer and how long it may take. All may change while the
/// server runs.
struct CallServerLimits {
  std::size_t max_header_bytes = std::size_t{64} << 10;  ///< Request line and headers; else 431.
  std::size_t max_body_bytes = std::size_t{16} << 20;    ///< A larger body is answered 413.
  Duration header_timeout = std::chrono::seconds(10);    ///< From a request's first byte on.
  Duration body_timeout = std::chrono::seconds(10);      ///< Without a further byte of the body.
  Duration idle_timeout = std::chrono::seconds(60);      ///< Without a request.
  Duration write_timeout = std::chrono::seconds(10);     ///< Without progress of a response.
};

}  // namespace fireflyrun::http
