#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyrun::http {

/// One header field, as it stood on the wire.
struct Header {
  std::string name;
  std::string value;
};

using Headers = std::vector<Header>;

/// The most headers that one message may have.
inline constexpr std::size_t kMaxHeaders = 1000;

/// Bytes of memory that the headers take, which is many times their text where they are short.
std::size_t HeldBytes(const Headers& headers);

/// The first value of a header, whatever the case of its name.
std::optional<std::string_view> FindHeader(const Headers& headers, std::string_view name);

/// Compares header names without regard to the case of ASCII letters.
bool SameHeaderName(std::string_view left, std::string_view right);

/// True for headers that describe one connection or the framing of one message (RFC 9110, section
/// 7.6.1, `Proxy-*` and Content-Length). Client and the servers set these themselves and drop those
/// they are given.
bool IsConnectionHeader(std::string_view name);

/// Calls `use` with each element of a comma-separated value, without the space around it.
void ForEachElement(std::string_view value, const std::function<void(std::string_view)>& use);

/// True when a `Connection` header lists the option, such as `close`.
bool HasConnectionOption(const Headers& headers, std::string_view option);

/// Removes the headers that concern one connection only: connection headers, and those that a
/// `Connection` header names. `Host` stays, whatever is named.
void StripConnectionHeaders(Headers& headers);

/// True when the name is a token and the value has no control character but tab (RFC 9110,
/// section 5), so that the field cannot end its line early.
bool IsValidHeader(const Header& header);

/// True when the text has no control character but tab.
bool IsHeaderValue(std::string_view text);

/// The text without spaces and tabs at its ends.
std::string_view TrimSpace(std::string_view text);

/// True for a non-empty token (RFC 9110, section 5.6.2), such as a method or a header's name.
bool IsToken(std::string_view text);

}  // namespace fireflyrun::http
