#include "http/response_head.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <system_error>

#include "http/headers.h"
#include "http/reason_phrase.h"
#include "http/status.h"

namespace fireflyrun::http {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr std::size_t kNumberBytes = 20;

void AppendNumber(std::string& text, std::uint64_t number) {
  const std::size_t size = text.size();
  text.resize(size + kNumberBytes);
  const auto written = std::to_chars(text.data() + size, text.data() + text.size(), number);
  text.resize(static_cast<std::size_t>(written.ptr - text.data()));
}

/// `Keep-Alive` needs `Connection: keep-alive` beside it to be heeded. Whole seconds only, so a
/// shorter time is not told.
void AppendPersistence(std::string& text, const ResponseFraming& framing) {
  if (framing.close) {
    text += "Connection: close\r\n";
    return;
  }
  text += "Connection: keep-alive\r\n";
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(framing.idle_timeout);
  if (seconds.count() <= 0) return;
  text += "Keep-Alive: timeout=";
  AppendNumber(text, static_cast<std::uint64_t>(seconds.count()));
  text += "\r\n";
}

}  // namespace

bool NeverHasBody(int status) {
  return status < kFirstFinalStatus || status == kNoContent || status == kNotModified;
}

void WriteResponseHead(Response& response, const ResponseFraming& framing, std::string& text) {
  StripConnectionHeaders(response.headers);
  text = "HTTP/1.1 ";
  AppendNumber(text, static_cast<std::uint64_t>(response.status));
  text += ' ';
  text += ReasonPhrase(response.status);
  text += "\r\n";
  for (const Header& header : response.headers) {
    if (!IsValidHeader(header)) continue;
    text += header.name;
    text += ": ";
    text += header.value;
    text += "\r\n";
  }
  AppendPersistence(text, framing);
  const bool length_unknown = framing.head_only && response.body.empty();
  if (!NeverHasBody(response.status) && !length_unknown) {
    text += "Content-Length: ";
    AppendNumber(text, response.body.size());
    text += "\r\n";
  }
  text += "\r\n";
}

}  // namespace fireflyrun::http
