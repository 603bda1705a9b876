#include "peer/body_assembly.h"

#include <utility>

#include "peer/checksum.h"

namespace fireflyrun::peer {

BodyAssembly::BodyAssembly(std::uint64_t body_length, std::uint32_t body_crc32)
    : length(body_length), crc32(body_crc32) {}

BodyAssembly::State BodyAssembly::Add(std::string&& chunk) {
  if (chunk.size() > this->length - this->body.size()) return State::kDamaged;
  if (this->body.empty()) {
    this->body = std::move(chunk);
    if (this->body.size() < this->length) this->body.reserve(this->length);
  } else {
    this->body.append(chunk);
  }
  return this->Check();
}

BodyAssembly::State BodyAssembly::Check() const {
  if (this->body.size() < this->length) return State::kIncomplete;
  return Checksum(this->body) == this->crc32 ? State::kComplete : State::kDamaged;
}

}  // namespace fireflyrun::peer
