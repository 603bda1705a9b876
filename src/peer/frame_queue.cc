#include "peer/frame_queue.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "peer/frame_codec.h"

namespace fireflyrun::peer {
namespace {

const std::string& BodyOf(const OutgoingMessage& message) {
  return message.call ? message.call->body : message.answer->body;
}

void LowerDeadline(SteadyTime queued_at, pb::CallHead* head) {
  const auto waited = ToMicroseconds(SteadyClock::now() - queued_at).count();
  const auto left = static_cast<std::int64_t>(head->deadline_us()) - waited;
  head->set_deadline_us(static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0)));
}

std::deque<OutgoingMessage>::iterator FindCall(std::deque<OutgoingMessage>& messages,
                                               const Id128& call_id) {
  return std::find_if(messages.begin(), messages.end(), [&](const OutgoingMessage& message) {
    return message.call && message.call_id == call_id;
  });
}

}  // namespace

FrameQueue::FrameQueue(std::size_t chunk_size, CallEncodedHook on_call_encoded)
    : chunk_bytes(chunk_size),
      call_encoded(std::move(on_call_encoded)),
      new_message_allowance(chunk_size) {}

void FrameQueue::Push(OutgoingMessage message) { this->new_messages.push_back(std::move(message)); }

void FrameQueue::PushFirst(OutgoingMessage message) {
  this->new_messages.push_front(std::move(message));
}

void FrameQueue::Fill(std::size_t size, std::string* out) {
  while (out->size() < size && !this->Empty()) {
    const bool new_message_turn = this->started_messages.empty() || this->new_message_allowance > 0;
    if (!this->new_messages.empty() && new_message_turn) {
      this->EncodeFirst(out);
    } else {
      this->EncodeNextChunk(out);
    }
  }
}

void FrameQueue::EncodeFirst(std::string* out) {
  const std::size_t size_before = out->size();
  OutgoingMessage message = std::move(this->new_messages.front());
  this->new_messages.pop_front();
  bool whole = true;
  if (message.call) {
    LowerDeadline(message.queued_at, &message.call->head);
    AppendFrame(pb::Frame::kCallHeadFieldNumber, message.call->head, out);
    whole = this->EncodeChunk(message, out);
  } else if (message.answer) {
    AppendFrame(pb::Frame::kAnswerHeadFieldNumber, message.answer->head, out);
    whole = this->EncodeChunk(message, out);
  } else {
    out->append(message.frame);
  }
  this->new_message_allowance -= std::min(this->new_message_allowance, out->size() - size_before);
  if (whole) {
    this->Finish(message, *out);
  } else {
    this->started_messages.push_back(std::move(message));
  }
}

void FrameQueue::EncodeNextChunk(std::string* out) {
  this->new_message_allowance = this->chunk_bytes;
  OutgoingMessage message = std::move(this->started_messages.front());
  this->started_messages.pop_front();
  if (this->EncodeChunk(message, out)) {
    this->Finish(message, *out);
  } else {
    this->started_messages.push_back(std::move(message));
  }
}

bool FrameQueue::EncodeChunk(OutgoingMessage& message, std::string* out) {
  const std::string& body = BodyOf(message);
  if (body.empty()) return true;
  const int field =
      message.call ? pb::Frame::kCallChunkFieldNumber : pb::Frame::kAnswerChunkFieldNumber;
  const auto chunk = std::string_view(body).substr(message.body_offset, this->chunk_bytes);
  AppendChunkFrame(field, message.call_id, chunk, out);
  message.body_offset += chunk.size();
  return message.body_offset == body.size();
}

void FrameQueue::Finish(const OutgoingMessage& message, const std::string& out) {
  if (message.call) this->call_encoded(message.call_id, out.size());
}

FrameQueue::Removal FrameQueue::Remove(const Id128& call_id) {
  if (const auto found = FindCall(this->new_messages, call_id); found != this->new_messages.end()) {
    this->new_messages.erase(found);
    return Removal::kNotStarted;
  }
  if (const auto found = FindCall(this->started_messages, call_id);
      found != this->started_messages.end()) {
    this->started_messages.erase(found);
    return Removal::kStarted;
  }
  return Removal::kNotFound;
}

}  // namespace fireflyrun::peer
