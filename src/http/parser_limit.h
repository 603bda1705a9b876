#pragma once

#include <cstddef>

namespace fireflyrun::http {

/// The longest head that any part of the process reads, in bytes. CallServerLimits may allow less.
inline constexpr std::size_t kLargestHeadBytes = std::size_t{1} << 20;

/// Sets http_parser's limit on heads, of which a process has one for all parsers. Whoever uses
/// http_parser calls this first, so that the limit is the same whatever was parsed before, and has
/// a lower limit of its own.
void SetParserLimit();

}  // namespace fireflyrun::http
