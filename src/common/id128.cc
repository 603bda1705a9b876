#include "common/id128.h"

#include <charconv>

#include "common/random.h"

namespace fireflyrun {
namespace {

constexpr std::size_t kHalfBytes = 8;
constexpr std::size_t kHalfHexDigits = 16;
constexpr unsigned kBitsPerByte = 8;

std::optional<std::uint64_t> ParseHalf(std::string_view hex) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(hex.data(), hex.data() + hex.size(), value, 16);
  if (error != std::errc{} || end != hex.data() + hex.size()) return std::nullopt;
  return value;
}

void AppendHexHalf(std::uint64_t value, std::string* out) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  for (int shift = 60; shift >= 0; shift -= 4) out->push_back(kDigits[(value >> shift) & 0xF]);
}

void AppendBytesHalf(std::uint64_t value, std::string* out) {
  for (int shift = 56; shift >= 0; shift -= static_cast<int>(kBitsPerByte)) {
    out->push_back(static_cast<char>((value >> shift) & 0xFF));
  }
}

std::uint64_t ReadHalf(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) value = (value << kBitsPerByte) | static_cast<unsigned char>(byte);
  return value;
}

}  // namespace

Id128 Id128::Random() { return {RandomBits(), RandomBits()}; }

std::optional<Id128> Id128::FromHex(std::string_view hex) {
  if (hex.size() != kHexDigits) return std::nullopt;
  const auto high = ParseHalf(hex.substr(0, kHalfHexDigits));
  const auto low = ParseHalf(hex.substr(kHalfHexDigits));
  if (!high || !low) return std::nullopt;
  return Id128(*high, *low);
}

std::optional<Id128> Id128::FromBytes(std::string_view bytes) {
  if (bytes.size() != kBytes) return std::nullopt;
  return Id128(ReadHalf(bytes.substr(0, kHalfBytes)), ReadHalf(bytes.substr(kHalfBytes)));
}

std::string Id128::ToHex() const {
  std::string hex;
  hex.reserve(kHexDigits);
  AppendHexHalf(this->high, &hex);
  AppendHexHalf(this->low, &hex);
  return hex;
}

std::string Id128::ToBytes() const {
  std::string bytes;
  bytes.reserve(kBytes);
  AppendBytesHalf(this->high, &bytes);
  AppendBytesHalf(this->low, &bytes);
  return bytes;
}

}  // namespace fireflyrun
