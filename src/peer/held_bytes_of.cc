#include "peer/held_bytes_of.h"

namespace fireflyrun::peer {
namespace {

/// Memory that a header takes beside its text, in bytes.
constexpr std::size_t kHeaderBytes = 160;

template <typename Head>
std::size_t HeadBytes(const Head& head) {
  return head.ByteSizeLong() + static_cast<std::size_t>(head.headers_size()) * kHeaderBytes;
}

}  // namespace

std::size_t HeldBytesOf(const pb::CallHead& head) { return HeadBytes(head); }

std::size_t HeldBytesOf(const pb::AnswerHead& head) { return HeadBytes(head); }

std::size_t HeldBytesOf(const Call& call) { return HeadBytes(call.head) + call.body.size(); }

std::size_t HeldBytesOf(const Answer& answer) {
  return HeadBytes(answer.head) + answer.body.size();
}

}  // namespace fireflyrun::peer
