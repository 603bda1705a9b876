#include "http/headers.h"

#include <algorithm>
#include <array>

namespace fireflyrun::http {
namespace {

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr std::array<std::string_view, 9> kConnectionHeaders = {
    "Connection", "Content-Length", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Expect",         "Transfer-Encoding", "Upgrade",
};

constexpr bool IsDigit(char character) { return character >= '0' && character <= '9'; }

constexpr char ToLower(char character) {
  const bool upper = character >= 'A' && character <= 'Z';
  return upper ? static_cast<char>(character - 'A' + 'a') : character;
}

constexpr bool IsTokenCharacter(char character) {
  const char lower = ToLower(character);
  const bool letter = lower >= 'a' && lower <= 'z';
  return letter || IsDigit(character) ||
         kTokenPunctuation.find(character) != std::string_view::npos;
}

constexpr bool IsValueCharacter(char character) {
  const auto code = static_cast<unsigned char>(character);
  return character == '\t' || (code >= 0x20 && code != 0x7F);
}

}  // namespace

std::optional<std::string_view> FindHeader(const Headers& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (SameHeaderName(header.name, name)) return header.value;
  }
  return std::nullopt;
}

bool SameHeaderName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

bool IsConnectionHeader(std::string_view name) {
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                     [name](std::string_view known) { return SameHeaderName(known, name); });
}

bool IsValidHeader(const Header& header) {
  return IsToken(header.name) &&
         std::all_of(header.value.begin(), header.value.end(), IsValueCharacter);
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

}  // namespace fireflyrun::http
