#include "node/answer_codec.h"

#include <cstdint>

namespace fireflyrun::node {
namespace {

constexpr std::size_t kLengthBytes = 4;

}  // namespace

std::string EncodeAnswer(const peer::Answer& answer) {
  const std::string head = answer.head.SerializeAsString();
  std::string bytes;
  bytes.reserve(kLengthBytes + head.size() + answer.body.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((head.size() >> shift) & 0xFF));
  }
  bytes += head;
  bytes += answer.body;
  return bytes;
}

std::optional<peer::Answer> DecodeAnswer(std::string_view bytes) {
  if (bytes.size() < kLengthBytes) return std::nullopt;
  std::size_t head_bytes = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    head_bytes = (head_bytes << 8U) | static_cast<unsigned char>(bytes[i]);
  }
  if (bytes.size() - kLengthBytes < head_bytes) return std::nullopt;
  peer::Answer answer;
  const auto head = bytes.substr(kLengthBytes, head_bytes);
  if (!answer.head.ParseFromArray(head.data(), static_cast<int>(head.size()))) return std::nullopt;
  answer.body = std::string(bytes.substr(kLengthBytes + head_bytes));
  return answer;
}

}  // namespace fireflyrun::node
