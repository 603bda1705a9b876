#include "policy/held_bytes.h"

#include <utility>

namespace fireflyrun::policy {

HeldBytesShare::HeldBytesShare(std::shared_ptr<HeldBytes> counted_bytes, MessageKind message_kind)
    : counted(std::move(counted_bytes)), kind(message_kind) {}

HeldBytesShare::~HeldBytesShare() { this->Set(0); }

HeldBytesShare::HeldBytesShare(HeldBytesShare&& other) noexcept
    : counted(std::move(other.counted)), kind(other.kind), held(std::exchange(other.held, 0)) {}

HeldBytesShare& HeldBytesShare::operator=(HeldBytesShare&& other) noexcept {
  std::swap(this->counted, other.counted);
  std::swap(this->kind, other.kind);
  std::swap(this->held, other.held);
  return *this;
}

void HeldBytesShare::Set(std::size_t bytes) {
  if (!this->counted) return;
  this->counted->held[HeldBytes::Index(this->kind)] += bytes - this->held;
  this->held = bytes;
}

bool HeldBytesShare::Grow(std::size_t bytes) {
  const std::size_t before = this->held;
  this->Set(0);
  const bool has_room = !this->counted || this->counted->HasRoomFor(this->kind, bytes);
  this->Set(has_room ? bytes : before);
  return has_room;
}

}  // namespace fireflyrun::policy
