#pragma once

#include <array>
#include <cstddef>
#include <memory>

namespace fireflyrun::policy {

enum class MessageKind { kRequest, kAnswer };

/// Counts the bytes of messages, heads and bodies, that a process holds in all its parts, against
/// one limit.
///
/// Answers the load of targets that send without end, of callers that read slowly, and of large
/// messages that come together: whatever holds a message asks before it takes more, and gives up
/// work, so that the process outlives it. Requests and answers have room of their own, so that
/// neither crowds out the other. Small messages may take as much again as all may, so that large
/// ones can't crowd them out, and many small ones end at a bound, too.
class HeldBytes {
 public:
  /// The largest of the small messages, in bytes.
  static constexpr std::size_t kSmallMessage = std::size_t{64} << 10;

  /// Answers may take `byte_limit`, and requests half as much: while a request is passed on it is
  /// held twice.
  explicit HeldBytes(std::size_t byte_limit) : limits{byte_limit / 2, byte_limit} {}

  std::size_t Held(MessageKind kind) const { return this->held[Index(kind)]; }
  std::size_t Limit(MessageKind kind) const { return this->limits[Index(kind)]; }
  /// Whether more is held than large messages may take.
  bool Exceeded(MessageKind kind) const { return this->Held(kind) > this->Limit(kind); }

  /// The most that may be held, with a message of `bytes` among it.
  std::size_t LimitWith(MessageKind kind, std::size_t bytes) const {
    return bytes <= kSmallMessage ? 2 * this->Limit(kind) : this->Limit(kind);
  }

  /// Whether a message of `bytes` that is held has to be given up.
  bool MustGiveWay(MessageKind kind, std::size_t bytes) const {
    return this->Held(kind) > this->LimitWith(kind, bytes);
  }

  /// Whether another message of `bytes` may be taken.
  bool HasRoomFor(MessageKind kind, std::size_t bytes) const {
    return this->Held(kind) + bytes <= this->LimitWith(kind, bytes);
  }

 private:
  friend class HeldBytesShare;

  static constexpr std::size_t Index(MessageKind kind) { return static_cast<std::size_t>(kind); }

  std::array<std::size_t, 2> limits;
  std::array<std::size_t, 2> held = {};
};

/// What one holder holds. It is no longer counted when the share is destroyed.
class HeldBytesShare {
 public:
  /// Counts nothing.
  HeldBytesShare() = default;
  /// Counts nothing if `counted_bytes` is null.
  HeldBytesShare(std::shared_ptr<HeldBytes> counted_bytes, MessageKind message_kind);
  ~HeldBytesShare();
  HeldBytesShare(HeldBytesShare&& other) noexcept;
  HeldBytesShare& operator=(HeldBytesShare&& other) noexcept;
  HeldBytesShare(const HeldBytesShare&) = delete;
  HeldBytesShare& operator=(const HeldBytesShare&) = delete;

  void Set(std::size_t bytes);

  /// As Set(), unless there is no room for a message that grows to `bytes`.
  [[nodiscard]] bool Grow(std::size_t bytes);

 private:
  std::shared_ptr<HeldBytes> counted;
  MessageKind kind = MessageKind::kRequest;
  std::size_t held = 0;
};

}  // namespace fireflyrun::policy
