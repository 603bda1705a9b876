#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "common/id128.h"
#include "peer/outgoing_message.h"

namespace fireflyrun::peer {

/// Messages that wait for the write buffer. Messages that have begun are served round-robin, a
/// chunk each; between two such chunks about a chunk's worth of new messages begins. So a small
/// call waits for one chunk, however many long bodies are on their way.
class FrameQueue {
 public:
  /// What became of the rest of a removed message.
  enum class Removal { kNotFound, kNotBegun, kBegun };
  /// Told when the last frame of a call is in the buffer, which then holds `size` bytes.
  using CallEncodedHook = std::function<void(const Id128& call_id, std::size_t size)>;

  FrameQueue(std::size_t chunk_size, CallEncodedHook on_call_encoded);

  void Push(OutgoingMessage message);
  /// Appends frames to `out` until it holds `size` bytes or more, or the queue is empty.
  void Fill(std::size_t size, std::string* out);
  /// Drops the frames of a call that are not in the buffer yet.
  Removal Remove(const Id128& call_id);
  bool Empty() const { return this->fresh.empty() && this->begun.empty(); }

 private:
  void EncodeFirst(std::string* out);
  void EncodeNextChunk(std::string* out);
  /// Encodes one chunk of `message`; true when nothing of it is left.
  bool EncodeChunk(OutgoingMessage& message, std::string* out);
  void Finish(const OutgoingMessage& message, const std::string& out);

  std::size_t chunk_bytes;
  CallEncodedHook call_encoded;
  std::deque<OutgoingMessage> fresh;
  std::deque<OutgoingMessage> begun;
  std::size_t fresh_allowance;  ///< Bytes of new messages until the next chunk of a begun one.
};

}  // namespace fireflyrun::peer
