#pragma once

#include <array>
#include <cstddef>
#include <memory>

namespace fireflyrun::policy {

enum class BodyKind { kRequest, kAnswer };

/// Counts the bytes of bodies that a process holds, in all its parts, against one limit.
///
/// Answers the load of targets that send without end, of callers that read slowly, and of large
/// bodies that come together: whatever holds a body asks before it takes more, and gives up work,
/// so that the process outlives it. Requests and answers have room of their own, so that neither
/// crowds out the other.
class HeldBytes {
 public:
  /// A body of up to this size always has room, so that large ones can't crowd out small ones.
  static constexpr std::size_t kSmallBody = std::size_t{64} << 10;

  /// Answers may take `byte_limit`, and requests half as much: while a request is passed on it is
  /// held twice.
  explicit HeldBytes(std::size_t byte_limit) : limits{byte_limit / 2, byte_limit} {}

  std::size_t Held(BodyKind kind) const { return this->held[Index(kind)]; }
  std::size_t Limit(BodyKind kind) const { return this->limits[Index(kind)]; }
  bool Exceeded(BodyKind kind) const { return this->Held(kind) > this->Limit(kind); }

  /// Whether another body of `bytes` may be taken.
  bool HasRoomFor(BodyKind kind, std::size_t bytes) const {
    return bytes <= kSmallBody || this->Held(kind) + bytes <= this->Limit(kind);
  }

 private:
  friend class HeldBytesShare;

  static constexpr std::size_t Index(BodyKind kind) { return static_cast<std::size_t>(kind); }

  std::array<std::size_t, 2> limits;
  std::array<std::size_t, 2> held = {};
};

/// What one holder holds. It is no longer counted when the share is destroyed.
class HeldBytesShare {
 public:
  /// Counts nothing.
  HeldBytesShare() = default;
  /// Counts nothing if `counted_bytes` is null.
  HeldBytesShare(std::shared_ptr<HeldBytes> counted_bytes, BodyKind body_kind);
  ~HeldBytesShare();
  HeldBytesShare(HeldBytesShare&& other) noexcept;
  HeldBytesShare& operator=(HeldBytesShare&& other) noexcept;
  HeldBytesShare(const HeldBytesShare&) = delete;
  HeldBytesShare& operator=(const HeldBytesShare&) = delete;

  void Set(std::size_t bytes);

  /// As Set(), unless there is no room for a body that grows to `bytes`.
  [[nodiscard]] bool Grow(std::size_t bytes);

 private:
  std::shared_ptr<HeldBytes> counted;
  BodyKind kind = BodyKind::kRequest;
  std::size_t held = 0;
};

}  // namespace fireflyrun::policy
