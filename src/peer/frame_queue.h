#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "common/id128.h"
#include "peer/outgoing_message.h"

namespace fireflyrun::peer {

/// Messages queued for the write buffer. Messages that were sent in part are served round-robin,
/// one chunk each; between two such chunks, about one chunk's worth of new messages is started. So
/// a small call waits for one chunk only, however many long bodies are being sent.
class FrameQueue {
 public:
  /// How much of a message had been encoded when it was removed.
  enum class Removal { kNotFound, kNotStarted, kStarted };
  /// Called when the last frame of a call is in the buffer, which then holds `size` bytes.
  using CallEncodedHook = std::function<void(const Id128& call_id, std::size_t size)>;

  FrameQueue(std::size_t chunk_size, CallEncodedHook on_call_encoded);

  void Push(OutgoingMessage message);
  /// Queues a message before all others.
  void PushFirst(OutgoingMessage message);
  /// Appends frames to `out` until it holds at least `size` bytes or the queue is empty.
  void Fill(std::size_t size, std::string* out);
  /// Removes the frames of a call that are not in the buffer yet.
  Removal Remove(const Id128& call_id);
  bool Empty() const { return this->new_messages.empty() && this->started_messages.empty(); }

 private:
  void EncodeFirst(std::string* out);
  void EncodeNextChunk(std::string* out);
  /// Encodes one chunk of `message`; returns true if it was the last.
  bool EncodeChunk(OutgoingMessage& message, std::string* out);
  void Finish(const OutgoingMessage& message, const std::string& out);

  std::size_t chunk_bytes;
  CallEncodedHook call_encoded;
  std::deque<OutgoingMessage> new_messages;
  std::deque<OutgoingMessage> started_messages;
  /// Bytes of new messages before the next chunk of a started one.
  std::size_t new_message_allowance;
};

}  // namespace fireflyrun::peer
