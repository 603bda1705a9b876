#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyrun {

/// A 128-bit identifier drawn at random; unique without coordination.
class Id128 {
 public:
  static constexpr std::size_t kBytes = 16;
  static constexpr std::size_t kHexDigits = 32;

  Id128() = default;
  Id128(std::uint64_t high_bits, std::uint64_t low_bits) : high(high_bits), low(low_bits) {}

  /// Draws a new identifier from a per-thread generator seeded by the operating system.
  static Id128 Random();
  /// Parses 32 hexadecimal digits; anything else gives nullopt.
  static std::optional<Id128> FromHex(std::string_view hex);
  /// Reads 16 bytes, most significant first; any other length gives nullopt.
  static std::optional<Id128> FromBytes(std::string_view bytes);

  std::string ToHex() const;
  std::string ToBytes() const;
  std::uint64_t High() const { return this->high; }
  std::uint64_t Low() const { return this->low; }
  bool IsZero() const { return this->high == 0 && this->low == 0; }

  auto operator<=>(const Id128&) const = default;

 private:
  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

}  // namespace fireflyrun

template <>
struct std::hash<fireflyrun::Id128> {
  std::size_t operator()(const fireflyrun::Id128& id) const noexcept {
    return id.High() ^ (id.Low() * 0x9E3779B97F4A7C15ULL);
  }
};
