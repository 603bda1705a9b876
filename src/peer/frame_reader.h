#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace fireflyrun::peer {

/// Splits a byte stream into frames; buffers at most one incomplete frame and one read.
class FrameReader {
 public:
  explicit FrameReader(std::size_t max_frame_size);

  /// Returns space for the next read; valid until the next call of any member.
  std::span<char> Prepare();
  /// Adds the first `size` bytes of the prepared space to the stream.
  void Commit(std::size_t size);

  /// Returns the next complete frame without its length, or nothing if more bytes are needed or
  /// Malformed().
  std::optional<std::string_view> Next();
  /// True once a frame length of 0 or above the limit was read.
  bool Malformed() const { return this->malformed; }

 private:
  std::size_t max_frame_bytes;
  std::vector<char> buffer;
  std::size_t begin = 0;
  std::size_t end = 0;
  bool malformed = false;
};

}  // namespace fireflyrun::peer
