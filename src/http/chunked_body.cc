#include "http/chunked_body.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "http/headers.h"
#include "http/request_head.h"
#include "http/status.h"

namespace fireflyrun::http {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxSizeLineBytes = 1024;
constexpr std::size_t kMaxExtensionBytes = std::size_t{16} << 10;
constexpr int kHexadecimal = 16;

/// The line without its end; nullopt when its end is not there yet. The error is for a line that is
/// too long or ends in a bare line feed.
tl::expected<std::optional<std::string_view>, int> TakeLine(std::string_view input,
                                                            std::size_t max_bytes, int too_long) {
  const std::size_t feed = input.find('\n');
  if (std::min(feed, input.size()) > max_bytes) return tl::make_unexpected(too_long);
  if (feed == std::string_view::npos) return std::nullopt;
  if (feed == 0 || input[feed - 1] != '\r') return tl::make_unexpected(kBadRequest);
  return input.substr(0, feed - 1);
}

/// The size at the start of the line; nullopt when it is malformed.
std::optional<std::size_t> ParseSize(std::string_view line, std::string_view& extension) {
  std::size_t size = 0;
  const auto [end, error] =
      std::from_chars(line.data(), line.data() + line.size(), size, kHexadecimal);
  if (error != std::errc()) return std::nullopt;
  extension = line.substr(static_cast<std::size_t>(end - line.data()));
  if (extension.empty()) return size;
  const std::size_t semicolon = extension.find_first_not_of(" \t");
  if (semicolon == std::string_view::npos || extension[semicolon] != ';') return std::nullopt;
  if (!IsHeaderValue(extension)) return std::nullopt;
  return size;
}

}  // namespace

tl::expected<std::size_t, int> ChunkedBody::Consume(std::string_view input, std::string& body) {
  std::size_t consumed = 0;
  while (!this->Complete() && consumed < input.size()) {
    const auto step = this->Step(input.substr(consumed), body);
    if (!step) return step;
    if (*step == 0) break;
    consumed += *step;
  }
  return consumed;
}

tl::expected<std::size_t, int> ChunkedBody::Step(std::string_view input, std::string& body) {
  switch (this->state) {
    case State::kSize:
      return this->ReadSize(input, body.size());
    case State::kData:
      return this->ReadData(input, body);
    case State::kDataEnd:
      return this->ReadDataEnd(input);
    case State::kTrailers:
      return this->ReadTrailer(input);
    case State::kComplete:
      break;
  }
  return 0;
}

tl::expected<std::size_t, int> ChunkedBody::ReadSize(std::string_view input,
                                                     std::size_t body_size) {
  const auto line = TakeLine(input, kMaxSizeLineBytes, kBadRequest);
  if (!line) return tl::make_unexpected(line.error());
  if (!line->has_value()) return 0;
  std::string_view extension;
  const auto size = ParseSize(**line, extension);
  if (!size) return tl::make_unexpected(kBadRequest);
  if (*size > this->max_body_bytes - body_size) return tl::make_unexpected(kContentTooLarge);
  this->extension_bytes += extension.size();
  if (this->extension_bytes > kMaxExtensionBytes) return tl::make_unexpected(kBadRequest);
  this->chunk_left = *size;
  this->state = *size == 0 ? State::kTrailers : State::kData;
  return (*line)->size() + kLineEnd.size();
}

tl::expected<std::size_t, int> ChunkedBody::ReadData(std::string_view input, std::string& body) {
  const std::size_t size = std::min(this->chunk_left, input.size());
  body.append(input.substr(0, size));
  this->chunk_left -= size;
  if (this->chunk_left == 0) this->state = State::kDataEnd;
  return size;
}

tl::expected<std::size_t, int> ChunkedBody::ReadDataEnd(std::string_view input) {
  const std::size_t size = std::min(input.size(), kLineEnd.size());
  if (input.substr(0, size) != kLineEnd.substr(0, size)) return tl::make_unexpected(kBadRequest);
  if (size < kLineEnd.size()) return 0;
  this->state = State::kSize;
  return size;
}

tl::expected<std::size_t, int> ChunkedBody::ReadTrailer(std::string_view input) {
  const std::size_t left = this->max_trailer_bytes - this->trailer_bytes;
  const auto line = TakeLine(input, left, kHeadersTooLarge);
  if (!line) return tl::make_unexpected(line.error());
  if (!line->has_value()) return 0;
  const std::size_t size = (*line)->size() + kLineEnd.size();
  if ((*line)->empty()) {
    this->state = State::kComplete;
    return size;
  }
  if (!IsHeaderLine(**line)) return tl::make_unexpected(kBadRequest);
  this->trailer_bytes += std::min(size, left);
  return size;
}

}  // namespace fireflyrun::http
