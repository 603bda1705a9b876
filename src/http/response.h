#pragma once

#include <string>

#include "http/headers.h"

namespace fireflyrun::http {

/// A whole response; Content-Length is set by whoever sends it.
struct Response {
  int status = 0;
  Headers headers;
  std::string body;
  /// Of a target's answer: it doesn't tell which request it answers, though targets should.
  bool lacks_echo = false;
};

}  // namespace fireflyrun::http
