#include "http/parser_limit.h"

#include <http_parser.h>

#include <cstdint>

namespace fireflyrun::http {
namespace {

/// http_parser counts a few bytes more than a head has.
constexpr std::uint32_t kParserBytes = kLargestHeadBytes + 4096;

bool ApplyLimit() {
  http_parser_set_max_header_size(kParserBytes);
  return true;
}

}  // namespace

void SetParserLimit() {
  static const bool applied = ApplyLimit();
  static_cast<void>(applied);
}

}  // namespace fireflyrun::http
