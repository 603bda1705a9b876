#include "http/headers.h"

#include <algorithm>
#include <array>

namespace fireflyrun::http {
namespace {

constexpr std::string_view kConnection = "Connection";
constexpr std::string_view kHost = "Host";
constexpr std::string_view kSpace = " \t";
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr std::string_view kProxyPrefix = "Proxy-";
constexpr std::array<std::string_view, 8> kConnectionHeaders = {
    "Connection", "Content-Length", "Keep-Alive",        "TE",
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

using CharacterSet = std::array<bool, 256>;

constexpr CharacterSet MakeSet(bool (*contains)(char)) {
  CharacterSet set{};
  for (std::size_t code = 0; code < set.size(); ++code) {
    set[code] = contains(static_cast<char>(code));
  }
  return set;
}

constexpr CharacterSet kTokenCharacters = MakeSet(IsTokenCharacter);
constexpr CharacterSet kValueCharacters = MakeSet(IsValueCharacter);

bool ConsistsOf(std::string_view text, const CharacterSet& set) {
  return std::all_of(text.begin(), text.end(),
                     [&set](char character) { return set[static_cast<unsigned char>(character)]; });
}

/// Short texts stand in the string itself.
std::size_t HeldBytes(const std::string& text) {
  static const std::size_t inline_capacity = std::string().capacity();
  return text.capacity() > inline_capacity ? text.capacity() : 0;
}

}  // namespace

std::size_t HeldBytes(const Headers& headers) {
  std::size_t bytes = headers.capacity() * sizeof(Header);
  for (const Header& header : headers) bytes += HeldBytes(header.name) + HeldBytes(header.value);
  return bytes;
}

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
  if (SameHeaderName(name.substr(0, kProxyPrefix.size()), kProxyPrefix)) return true;
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                     [name](std::string_view known) { return SameHeaderName(known, name); });
}

void ForEachElement(std::string_view value, const std::function<void(std::string_view)>& use) {
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    const std::string_view element = TrimSpace(value.substr(0, comma));
    if (!element.empty()) use(element);
    if (comma == std::string_view::npos) return;
    value.remove_prefix(comma + 1);
  }
}

bool HasConnectionOption(const Headers& headers, std::string_view option) {
  bool found = false;
  for (const Header& header : headers) {
    if (!SameHeaderName(header.name, kConnection)) continue;
    ForEachElement(header.value,
                   [&](std::string_view named) { found |= SameHeaderName(named, option); });
  }
  return found;
}

void StripConnectionHeaders(Headers& headers) {
  std::vector<std::string> named;
  for (const Header& header : headers) {
    if (!SameHeaderName(header.name, kConnection)) continue;
    ForEachElement(header.value, [&](std::string_view name) { named.emplace_back(name); });
  }
  std::erase_if(headers, [&named](const Header& header) {
    if (IsConnectionHeader(header.name)) return true;
    if (SameHeaderName(header.name, kHost)) return false;
    return std::any_of(named.begin(), named.end(),
                       [&](const std::string& name) { return SameHeaderName(header.name, name); });
  });
}

bool IsValidHeader(const Header& header) {
  return IsToken(header.name) && IsHeaderValue(header.value);
}

bool IsHeaderValue(std::string_view text) { return ConsistsOf(text, kValueCharacters); }

std::string_view TrimSpace(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

bool IsToken(std::string_view text) { return !text.empty() && ConsistsOf(text, kTokenCharacters); }

}  // namespace fireflyrun::http
