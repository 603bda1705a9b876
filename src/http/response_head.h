#pragma once

#include <string>

#include "common/clock.h"
#include "http/response.h"

namespace fireflyrun::http {

/// What a response's head says besides the response itself.
struct ResponseFraming {
  bool head_only = false;   ///< The request was HEAD: no body follows.
  bool close = false;       ///< The connection closes after the response.
  Duration idle_timeout{};  ///< For `Keep-Alive`.
};

/// True for statuses whose responses never have a body (RFC 9112, section 6.3).
bool NeverHasBody(int status);

/// Writes status line and headers into `text`, in place of what it held. Connection headers and
/// malformed ones of the response are left out.
void WriteResponseHead(Response& response, const ResponseFraming& framing, std::string& text);

}  // namespace fireflyrun::http
