#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace fireflyrun::peer {

/// Assembles the chunks of one body and checks its length and checksum.
class BodyAssembly {
 public:
  enum class State { kIncomplete, kComplete, kDamaged };

  BodyAssembly() = default;
  BodyAssembly(std::uint64_t body_length, std::uint32_t body_crc32);

  /// Appends the next chunk.
  State Add(std::string&& chunk);
  State Check() const;
  std::string TakeBody() { return std::move(this->body); }

 private:
  std::uint64_t length = 0;
  std::uint32_t crc32 = 0;
  std::string body;
};

}  // namespace fireflyrun::peer
