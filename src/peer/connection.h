#pragma once

#include <google/protobuf/message_lite.h>

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "common/clock.h"
#include "peer/connection_hooks.h"
#include "peer/frame_queue.h"
#include "peer/frame_reader.h"
#include "peer/link_counters.h"
#include "peer/link_options.h"
#include "peer/outgoing_message.h"

namespace fireflyrun::peer {

/// A connected TCP stream of frames. Flush() writes to the kernel while it accepts data; frames
/// queued while it does not are batched into the next write. Frames pushed by hooks during a read
/// are written together after it.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// `link_counters` outlives the connection.
  Connection(asio::ip::tcp::socket connected_socket, const LinkOptions& options,
             std::shared_ptr<LinkCounters> link_counters);

  /// Starts reading. The connection keeps the hooks, so they should hold their owner weakly.
  void Start(ConnectionHooks connection_hooks);
  /// Queues a message for the next Flush().
  void Push(OutgoingMessage message);
  /// Queues a message of one frame.
  void PushFrame(int field_number, const google::protobuf::MessageLite& message);
  /// Queues a message of one frame before all others that are queued.
  void PushUrgent(int field_number, const google::protobuf::MessageLite& message);
  /// Queues a message of one frame that is sent with the next write of other frames, or by
  /// FlushAll().
  void PushDeferred(int field_number, const google::protobuf::MessageLite& message);
  void Flush();
  /// Like Flush(), but also writes if only deferred frames are queued.
  void FlushAll();
  /// Removes the frames of a call that are not in the write buffer yet.
  FrameQueue::Removal Remove(const Id128& call_id) { return this->queue.Remove(call_id); }
  void Close();
  /// Closes the connection so that the kernel sends nothing more of what it was given.
  void Abort();

  bool IsOpen() const { return this->open; }
  /// When bytes were last received; the clock's epoch before the first.
  SteadyTime LastReceived() const { return this->last_received; }

 private:
  struct CallEnd {
    std::uint64_t position;  ///< Offset of the call's end in the stream of bytes sent.
    Id128 call_id;
  };

  void Read();
  void OnRead(std::size_t size, bool was_full);
  /// Reads once without waiting; returns true if there may be more to read.
  bool ReadMore();
  /// Handles the frames of what was read into the reader's space.
  void Take(std::size_t size);
  void DispatchFrames();
  bool WriteOnce();
  void WaitUntilWritable();
  void ReportHandedOver();
  void Fail(std::string reason);
  void CloseSocket();

  asio::ip::tcp::socket socket;
  std::shared_ptr<LinkCounters> counters;
  FrameQueue queue;
  FrameReader reader;
  ConnectionHooks hooks;
  std::string deferred;  ///< Encoded frames appended to the next write buffer.
  std::string buffer;
  std::size_t buffer_written = 0;
  std::uint64_t total_written = 0;
  std::deque<CallEnd> call_ends;
  SteadyTime last_received;
  bool open = true;
  bool closed_by_owner = false;
  bool waiting_until_writable = false;
  bool dispatching = false;
};

}  // namespace fireflyrun::peer
