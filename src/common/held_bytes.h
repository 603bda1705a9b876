#pragma once

#include <cstddef>
#include <memory>

namespace fireflyrun {

/// Counts the bytes of bodies that a process holds, in all its parts, against one limit.
///
/// Answers the load of targets that send without end, of callers that read slowly, and of large
/// bodies that come together: whatever holds a body asks before it takes more, and gives up work,
/// so that the process outlives it.
class HeldBytes {
 public:
  /// A body of up to this size always has room, so that large ones can't crowd out small ones.
  static constexpr std::size_t kSmallBody = std::size_t{64} << 10;

  explicit HeldBytes(std::size_t byte_limit) : limit(byte_limit) {}

  std::size_t Held() const { return this->held; }
  std::size_t Limit() const { return this->limit; }
  bool Exceeded() const { return this->held > this->limit; }

  /// Whether the body of an answer may be taken.
  bool HasRoomForAnswer(std::size_t bytes) const {
    return bytes <= kSmallBody || this->held + bytes <= this->limit;
  }

  /// Whether the body of a request may be taken. Requests can still be refused as not run, so they
  /// give way before answers, and get half of the limit.
  bool HasRoomForRequest(std::size_t bytes) const {
    return bytes <= kSmallBody || this->held + bytes <= this->limit / 2;
  }

 private:
  friend class HeldBytesShare;

  std::size_t limit;
  std::size_t held = 0;
};

/// What one holder holds. It is no longer counted when the share is destroyed.
class HeldBytesShare {
 public:
  /// Without `counted_bytes` nothing is counted.
  explicit HeldBytesShare(std::shared_ptr<HeldBytes> counted_bytes = nullptr);
  ~HeldBytesShare();
  HeldBytesShare(HeldBytesShare&& other) noexcept;
  HeldBytesShare& operator=(HeldBytesShare&& other) noexcept;
  HeldBytesShare(const HeldBytesShare&) = delete;
  HeldBytesShare& operator=(const HeldBytesShare&) = delete;

  void Set(std::size_t bytes);

  /// As Set(), unless there is no room for a request's body that grows to `bytes`.
  [[nodiscard]] bool GrowRequest(std::size_t bytes);

 private:
  std::shared_ptr<HeldBytes> counted;
  std::size_t held = 0;
};

}  // namespace fireflyrun
