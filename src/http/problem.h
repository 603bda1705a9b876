#pragma once

#include <string_view>

#include "http/headers.h"
#include "http/response.h"

namespace fireflyrun::http {

/// A response with a problem body (RFC 9457, application/problem+json). Its `type` is
/// `urn:fireflyrun:problem:REASON`. Bytes that are not UTF-8 are replaced.
Response MakeProblem(int status, std::string_view reason, std::string_view title,
                     std::string_view detail, Headers extra_headers = {});

}  // namespace fireflyrun::http
