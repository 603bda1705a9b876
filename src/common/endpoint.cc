#include "common/endpoint.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace fireflyrun {
namespace {

constexpr unsigned kMaxPort = 65'535;

bool IsPort(std::string_view digits) {
  unsigned port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool whole = error == std::errc{} && end == digits.data() + digits.size();
  return whole && port >= 1 && port <= kMaxPort;
}

}  // namespace

bool IsEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  asio::error_code error;
  asio::ip::make_address(std::string(text.substr(0, colon)), error);
  return !error && IsPort(text.substr(colon + 1));
}

}  // namespace fireflyrun
