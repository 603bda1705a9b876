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

/// A connected stream of frames. Writes go to the kernel inside Flush() while it accepts them, and
/// what is queued meanwhile goes out in one write. Frames pushed by hooks during a read leave in
/// one write after it.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// `link_counters` outlives the connection.
  Connection(asio::ip::tcp::socket connected_socket, const LinkOptions& options,
             std::shared_ptr<LinkCounters> link_counters);

  /// Starts reading. The hooks should hold their owner weakly: the connection keeps them.
  void Start(ConnectionHooks connection_hooks);
  /// Queues a message; it leaves with the next Flush().
  void Push(OutgoingMessage message);
  /// Queues a message of one frame.
  void PushFrame(int field_number, const google::protobuf::MessageLite& message);
  /// Queues a message of one frame that may wait for another write; FlushAll() sends it in any
  /// case.
  void PushUnhurried(int field_number, const google::protobuf::MessageLite& message);
  void Flush();
  /// Flush(), also where only unhurried frames wait.
  void FlushAll();
  /// Takes back the frames of a call that are not in the write buffer yet.
  FrameQueue::Removal Remove(const Id128& call_id) { return this->queue.Remove(call_id); }
  void Close();

  bool IsOpen() const { return this->open; }
  /// When bytes were last received; the clock's epoch before the first.
  SteadyTime LastHeard() const { return this->last_heard; }

 private:
  struct CallEnd {
    std::uint64_t position;  ///< In the bytes written since the start.
    Id128 call_id;
  };

  void Read();
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
  std::string unhurried;  ///< Frames that leave at the end of the next write.
  std::string buffer;
  std::size_t buffer_written = 0;
  std::uint64_t total_written = 0;
  std::deque<CallEnd> call_ends;
  SteadyTime last_heard;
  bool open = true;
  bool closed_by_owner = false;
  bool waiting_until_writable = false;
  bool dispatching = false;
};

}  // namespace fireflyrun::peer
