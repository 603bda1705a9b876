#include "common/held_bytes.h"

#include <utility>

namespace fireflyrun {

HeldBytesShare::HeldBytesShare(std::shared_ptr<HeldBytes> counted_bytes)
    : counted(std::move(counted_bytes)) {}

HeldBytesShare::~HeldBytesShare() { this->Set(0); }

HeldBytesShare::HeldBytesShare(HeldBytesShare&& other) noexcept
    : counted(std::move(other.counted)), held(std::exchange(other.held, 0)) {}

HeldBytesShare& HeldBytesShare::operator=(HeldBytesShare&& other) noexcept {
  std::swap(this->counted, other.counted);
  std::swap(this->held, other.held);
  return *this;
}

void HeldBytesShare::Set(std::size_t bytes) {
  if (!this->counted) return;
  this->counted->held += bytes - this->held;
  this->held = bytes;
}

bool HeldBytesShare::GrowRequest(std::size_t bytes) {
  const std::size_t before = this->held;
  this->Set(0);
  if (this->counted && !this->counted->HasRoomForRequest(bytes)) {
    this->Set(before);
    return false;
  }
  this->Set(bytes);
  return true;
}

}  // namespace fireflyrun
