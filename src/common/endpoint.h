#pragma once

#include <string_view>

namespace fireflyrun {

/// True for `IP:PORT` with an IP number and a decimal port of 1 to 65535.
bool IsEndpoint(std::string_view text);

}  // namespace fireflyrun
