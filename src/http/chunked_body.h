#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fireflyrun::http {

/// Decodes one chunked body (RFC 9112, section 7.1) with every delimiter checked. Extensions and
/// trailers are checked and dropped.
class ChunkedBody {
 public:
  ChunkedBody(std::size_t max_body, std::size_t max_trailers)
      : max_body_bytes(max_body), max_trailer_bytes(max_trailers) {}

  /// Appends what `input` holds of the body to `body`. Gives the number of bytes consumed, or the
  /// status to answer.
  tl::expected<std::size_t, int> Consume(std::string_view input, std::string& body);

  bool Complete() const { return this->state == State::kComplete; }

 private:
  enum class State : std::uint8_t { kSize, kData, kDataEnd, kTrailers, kComplete };

  /// Each gives the bytes consumed, 0 when it needs more.
  tl::expected<std::size_t, int> Step(std::string_view input, std::string& body);
  tl::expected<std::size_t, int> ReadSize(std::string_view input, std::size_t body_size);
  tl::expected<std::size_t, int> ReadData(std::string_view input, std::string& body);
  tl::expected<std::size_t, int> ReadDataEnd(std::string_view input);
  tl::expected<std::size_t, int> ReadTrailer(std::string_view input);

  std::size_t max_body_bytes;
  std::size_t max_trailer_bytes;
  std::size_t extension_bytes = 0;
  std::size_t trailer_bytes = 0;
  std::size_t chunk_left = 0;
  State state = State::kSize;
};

}  // namespace fireflyrun::http
