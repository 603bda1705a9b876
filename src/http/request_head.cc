#include "http/request_head.h"

#include <http_parser.h>

#include <algorithm>
#include <charconv>
#include <optional>

#include "http/parser_limit.h"
#include "http/status.h"

namespace fireflyrun::http {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kVersionPrefix = "HTTP/";
constexpr std::string_view kHostPunctuation = "-._~!$&'()*+;=%:[]";
constexpr std::string_view kSchemeEnd = "://";
constexpr std::size_t kVersionBytes = 3;
constexpr std::size_t kUsualHeaders = 16;

using Failure = std::optional<int>;

constexpr bool IsDigit(char character) { return character >= '0' && character <= '9'; }

constexpr bool IsLetter(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
}

/// Visible ASCII; a fragment is never sent.
constexpr bool IsTargetCharacter(char character) {
  return character > ' ' && character < '\x7F' && character != '#';
}

bool IsHost(std::string_view value) {
  return std::all_of(value.begin(), value.end(), [](char character) {
    return IsDigit(character) || IsLetter(character) ||
           kHostPunctuation.find(character) != std::string_view::npos;
  });
}

bool IsTarget(std::string_view method, std::string_view target) {
  if (!std::all_of(target.begin(), target.end(), IsTargetCharacter)) return false;
  if (target == "*") return method == "OPTIONS";
  return target.starts_with('/') || target.find(kSchemeEnd) != std::string_view::npos;
}

Failure CheckVersion(std::string_view version) {
  if (!version.starts_with(kVersionPrefix)) return kBadRequest;
  version.remove_prefix(kVersionPrefix.size());
  const bool well_formed = version.size() == kVersionBytes && IsDigit(version[0]) &&
                           version[1] == '.' && IsDigit(version[2]);
  if (!well_formed) return kBadRequest;
  if (version[0] != '1') return kVersionNotSupported;
  return std::nullopt;
}

/// `METHOD SP TARGET SP VERSION`, with single spaces.
Failure CheckRequestLine(std::string_view line) {
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) return kBadRequest;
  const std::string_view method = line.substr(0, first);
  if (!IsToken(method)) return kBadRequest;
  if (method == "CONNECT") return kNotImplemented;
  if (!IsTarget(method, line.substr(first + 1, last - first - 1))) return kBadRequest;
  return CheckVersion(line.substr(last + 1));
}

/// Checks each line. Lines end where a line feed stands, so that a bare carriage return is found as
/// a control character.
Failure CheckLines(std::string_view text) {
  std::size_t lines = 0;
  while (!text.empty()) {
    const std::size_t feed = text.find('\n');
    const bool ends = feed != std::string_view::npos && feed > 0 && text[feed - 1] == '\r';
    if (!ends) return kBadRequest;
    const std::string_view line = text.substr(0, feed - 1);
    text.remove_prefix(feed + 1);
    if (line.empty()) return text.empty() ? Failure() : kBadRequest;
    if (++lines == 1) {
      if (const Failure failure = CheckRequestLine(line)) return failure;
    } else if (!IsHeaderLine(line)) {
      return kBadRequest;
    }
    if (lines > kMaxHeaders) return kHeadersTooLarge;
  }
  return kBadRequest;
}

struct HeadParser {
  RequestHead head;
  bool in_value = false;
};

HeadParser& Self(http_parser* parser) { return *static_cast<HeadParser*>(parser->data); }

int OnUrl(http_parser* parser, const char* at, std::size_t size) {
  Self(parser).head.target.append(at, size);
  return 0;
}

int OnHeaderField(http_parser* parser, const char* at, std::size_t size) {
  HeadParser& self = Self(parser);
  if (self.in_value || self.head.headers.empty()) self.head.headers.emplace_back();
  self.in_value = false;
  self.head.headers.back().name.append(at, size);
  return 0;
}

int OnHeaderValue(http_parser* parser, const char* at, std::size_t size) {
  HeadParser& self = Self(parser);
  self.in_value = true;
  self.head.headers.back().value.append(at, size);
  return 0;
}

/// Stops the library: the body is not its part.
int OnHeadersComplete(http_parser* parser) {
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& Callbacks() {
  static const http_parser_settings callbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = OnUrl;
    settings.on_header_field = OnHeaderField;
    settings.on_header_value = OnHeaderValue;
    settings.on_headers_complete = OnHeadersComplete;
    return settings;
  }();
  return callbacks;
}

/// The only value of a header, "" without one; nullopt when there are several.
std::optional<std::string_view> OnlyValue(const Headers& headers, std::string_view name,
                                          std::size_t& count) {
  count = 0;
  std::string_view value;
  for (const Header& header : headers) {
    if (!SameHeaderName(header.name, name)) continue;
    value = header.value;
    ++count;
  }
  if (count > 1) return std::nullopt;
  return value;
}

Failure CheckHost(const Headers& headers, bool http_1_0) {
  std::size_t count = 0;
  const auto host = OnlyValue(headers, "Host", count);
  if (!host || !IsHost(*host)) return kBadRequest;
  if (count == 0 && !http_1_0) return kBadRequest;
  return std::nullopt;
}

/// Sets how the body is delimited. A request that could be read in two ways is refused.
Failure ReadFraming(RequestHead& head, bool http_1_0) {
  std::size_t lengths = 0;
  std::size_t codings = 0;
  const auto length = OnlyValue(head.headers, "Content-Length", lengths);
  const auto coding = OnlyValue(head.headers, "Transfer-Encoding", codings);
  if (lengths > 0 && codings > 0) return kBadRequest;
  if (codings > 0 && http_1_0) return kBadRequest;
  if (codings > 0) {
    if (!coding || !SameHeaderName(*coding, "chunked")) return kNotImplemented;
    head.chunked = true;
    return std::nullopt;
  }
  if (lengths == 0) return std::nullopt;
  if (!length || length->empty() || !std::all_of(length->begin(), length->end(), IsDigit)) {
    return kBadRequest;
  }
  const auto [end, error] =
      std::from_chars(length->data(), length->data() + length->size(), head.content_length);
  return error == std::errc() ? Failure() : kContentTooLarge;
}

Failure ReadExpectation(RequestHead& head, bool http_1_0) {
  const auto expectation = FindHeader(head.headers, "Expect");
  if (!expectation || http_1_0) return std::nullopt;
  if (!SameHeaderName(*expectation, "100-continue")) return kExpectationFailed;
  head.expects_continue = true;
  return std::nullopt;
}

/// A target with scheme and host becomes path and query; its host goes before the header (RFC 9112,
/// section 3.2.2).
Failure NormalizeTarget(RequestHead& head) {
  if (head.target.starts_with('/') || head.target == "*") return std::nullopt;
  const std::size_t host_at = head.target.find(kSchemeEnd) + kSchemeEnd.size();
  const std::size_t path_at =
      std::min(head.target.find_first_of("/?", host_at), head.target.size());
  std::string host = head.target.substr(host_at, path_at - host_at);
  if (host.empty() || !IsHost(host)) return kBadRequest;
  head.target.erase(0, path_at);
  if (!head.target.starts_with('/')) head.target.insert(0, 1, '/');
  std::erase_if(head.headers,
                [](const Header& header) { return SameHeaderName(header.name, "Host"); });
  head.headers.insert(head.headers.begin(), {"Host", std::move(host)});
  return std::nullopt;
}

Failure Interpret(RequestHead& head, bool http_1_0) {
  if (const Failure failure = CheckHost(head.headers, http_1_0)) return failure;
  if (const Failure failure = ReadFraming(head, http_1_0)) return failure;
  if (const Failure failure = ReadExpectation(head, http_1_0)) return failure;
  if (const Failure failure = NormalizeTarget(head)) return failure;
  head.keep_alive = !HasConnectionOption(head.headers, "close") &&
                    (!http_1_0 || HasConnectionOption(head.headers, "keep-alive"));
  StripConnectionHeaders(head.headers);
  return std::nullopt;
}

}  // namespace

bool IsHeaderLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return false;
  return IsToken(line.substr(0, colon)) && IsHeaderValue(line.substr(colon + 1));
}

std::optional<int> CheckParsedHead(RequestHead& head, bool http_1_0) {
  if (!IsTarget(head.method, head.target)) return kBadRequest;
  if (!std::all_of(head.headers.begin(), head.headers.end(), IsValidHeader)) return kBadRequest;
  return Interpret(head, http_1_0);
}

tl::expected<RequestHead, int> ParseRequestHead(std::string_view text) {
  if (text.size() > kLargestHeadBytes) return tl::make_unexpected(kHeadersTooLarge);
  if (const Failure failure = CheckLines(text)) return tl::make_unexpected(*failure);
  SetParserLimit();
  HeadParser reader;
  reader.head.headers.reserve(kUsualHeaders);
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  parser.data = &reader;
  http_parser_execute(&parser, &Callbacks(), text.data(), text.size());
  if (HTTP_PARSER_ERRNO(&parser) != HPE_PAUSED) return tl::make_unexpected(kBadRequest);
  RequestHead& head = reader.head;
  head.method = http_method_str(static_cast<http_method>(parser.method));
  for (Header& header : head.headers) {
    header.value.resize(header.value.find_last_not_of(" \t") + 1);  // The library trims the front.
  }
  const bool http_1_0 = parser.http_minor == 0;
  if (const Failure failure = Interpret(head, http_1_0)) return tl::make_unexpected(*failure);
  return std::move(head);
}

}  // namespace fireflyrun::http
