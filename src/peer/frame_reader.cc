#include "peer/frame_reader.h"

#include <google/protobuf/io/coded_stream.h>

#include <cstdint>
#include <cstring>

#include "peer/frame_codec.h"

namespace fireflyrun::peer {
namespace {

/// The least space that Prepare() returns.
constexpr std::size_t kMinReadBytes = std::size_t{16} << 10;
/// Prepare() shrinks an empty buffer above this size to kMinReadBytes, because a node has hundreds
/// of idle connections.
constexpr std::size_t kMaxIdleBufferBytes = std::size_t{64} << 10;

std::size_t ReadLength(const char* bytes) {
  std::uint32_t length = 0;
  google::protobuf::io::CodedInputStream::ReadLittleEndian32FromArray(
      reinterpret_cast<const std::uint8_t*>(bytes), &length);
  return length;
}

}  // namespace

FrameReader::FrameReader(std::size_t max_frame_size) : max_frame_bytes(max_frame_size) {}

std::span<char> FrameReader::Prepare() {
  if (this->begin > 0) {
    std::memmove(this->buffer.data(), this->buffer.data() + this->begin, this->end - this->begin);
    this->end -= this->begin;
    this->begin = 0;
  }
  if (this->end == 0 && this->buffer.size() > kMaxIdleBufferBytes) {
    this->buffer.resize(kMinReadBytes);
    this->buffer.shrink_to_fit();
  }
  if (this->buffer.size() < this->end + kMinReadBytes) {
    this->buffer.resize(this->end + kMinReadBytes);
  }
  return {this->buffer.data() + this->end, this->buffer.size() - this->end};
}

void FrameReader::Commit(std::size_t size) { this->end += size; }

std::optional<std::string_view> FrameReader::Next() {
  if (this->malformed || this->end - this->begin < kLengthBytes) return std::nullopt;
  const std::size_t length = ReadLength(this->buffer.data() + this->begin);
  if (length == 0 || length > this->max_frame_bytes) {
    this->malformed = true;
    return std::nullopt;
  }
  if (this->end - this->begin < kLengthBytes + length) return std::nullopt;
  const std::string_view frame(this->buffer.data() + this->begin + kLengthBytes, length);
  this->begin += kLengthBytes + length;
  return frame;
}

}  // namespace fireflyrun::peer
