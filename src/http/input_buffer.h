#pragma once

#include <asio/buffer.hpp>
#include <cstddef>
#include <string_view>
#include <vector>

namespace fireflyrun::http {

/// Received bytes that were not consumed yet. Bytes stay in place between Prepare() and Commit(),
/// also while earlier ones are consumed, so that a read may be under way meanwhile.
class InputBuffer {
 public:
  std::string_view Data() const {
    return {this->bytes.data() + this->begin, this->end - this->begin};
  }

  /// Bytes of memory that it takes.
  std::size_t Capacity() const { return this->bytes.capacity(); }

  void Consume(std::size_t size) { this->begin += size; }

  /// Space for the next bytes, with room for `capacity` bytes in all or half as many further ones.
  asio::mutable_buffer Prepare(std::size_t capacity);

  /// Adds the first `size` bytes of the prepared space.
  void Commit(std::size_t size) { this->end += size; }

 private:
  std::vector<char> bytes;
  std::size_t begin = 0;
  std::size_t end = 0;
};

}  // namespace fireflyrun::http
