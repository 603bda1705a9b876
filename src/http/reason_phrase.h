#pragma once

#include <string_view>

namespace fireflyrun::http {

/// The registered phrase for a status, or "" for an unknown one.
std::string_view ReasonPhrase(int status);

}  // namespace fireflyrun::http
