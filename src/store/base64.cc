#include "store/base64.h"

#include <openssl/evp.h>

#include <cstddef>

namespace fireflyrun::store {
namespace {

constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupDigits = 4;

const unsigned char* AsUnsigned(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  const std::size_t groups = (bytes.size() + kGroupBytes - 1) / kGroupBytes;
  // EVP_EncodeBlock appends a terminating zero.
  std::string text(groups * kGroupDigits + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     AsUnsigned(bytes), static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.empty()) return std::string();
  if (text.size() % kGroupDigits != 0) return std::nullopt;
  std::string bytes(text.size() / kGroupDigits * kGroupBytes, '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                     AsUnsigned(text), static_cast<int>(text.size()));
  if (length < 0) return std::nullopt;
  // EVP_DecodeBlock counts padding characters as zero bytes.
  std::size_t padding = 0;
  while (padding < 2 && text[text.size() - 1 - padding] == '=') ++padding;
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

}  // namespace fireflyrun::store
