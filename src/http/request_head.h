#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "http/headers.h"

namespace fireflyrun::http {

/// The request line and headers of one request, and what they say about its body and connection.
struct RequestHead {
  std::string method;
  std::string target;
  Headers headers;  ///< Without those that concern the connection only.
  std::size_t content_length = 0;
  bool chunked = false;
  bool expects_continue = false;
  bool keep_alive = false;  ///< The caller keeps the connection after the response.
};

/// Reads a head from its request line to its empty line. The error is the status to answer: 400 for
/// whatever RFC 9112 does not allow, 431 for too many headers, 417, 501 or 505 for what is not
/// implemented.
///
/// http_parser reads it, after a check of each line: Debian builds that library without its strict
/// checks, so it would take a space before a header's colon, folded lines, or bare line feeds, by
/// which one request can be smuggled inside another.
tl::expected<RequestHead, int> ParseRequestHead(std::string_view text);

/// Checks and interprets a head of which http_parser has set method, target and headers already.
/// Gives the status to answer, if any. What shows only in the text itself, such as folded lines, is
/// not found.
std::optional<int> CheckParsedHead(RequestHead& head, bool http_1_0);

/// True for `name: value` as RFC 9112, section 5 has it, without the line's end.
bool IsHeaderLine(std::string_view line);

}  // namespace fireflyrun::http
