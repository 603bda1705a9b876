#pragma once

#include <string_view>

namespace fireflyrun::http {

/// Writes the line of a request that ended before it was read whole: `response` is what its caller
/// is answered.
void LogRejection(std::string_view remote_address, std::string_view response);

}  // namespace fireflyrun::http
