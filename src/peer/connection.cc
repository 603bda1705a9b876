#include "peer/connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <utility>

#include "peer/frame_codec.h"
#include "peer/peer.pb.h"

namespace fireflyrun::peer {
namespace {

/// Size to which the write buffer is filled; frames queued later wait until it is written.
constexpr std::size_t kWriteBufferBytes = std::size_t{32} << 10;
/// An empty buffer above this size is freed, because a node has hundreds of idle connections.
constexpr std::size_t kMaxIdleBufferBytes = std::size_t{8} << 10;
/// Unsent bytes that the kernel may buffer (TCP_NOTSENT_LOWAT); bounds the wait of small frames.
constexpr int kMaxUnsentBytes = 32 << 10;
/// Writes in one Flush(); then the event loop runs other handlers.
constexpr int kMaxWritesPerFlush = 4;
/// Full reads in a row; then the event loop runs other handlers.
constexpr int kMaxReadsInARow = 16;

void LimitUnsentBytes(asio::ip::tcp::socket& socket) {
  const int bytes = kMaxUnsentBytes;
  // Errors are ignored: without the option small frames only wait longer behind long bodies.
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof(bytes));
}

}  // namespace

Connection::Connection(asio::ip::tcp::socket connected_socket, const LinkOptions& options,
                       std::shared_ptr<LinkCounters> link_counters)
    : socket(std::move(connected_socket)),
      counters(std::move(link_counters)),
      queue(options.chunk_bytes,
            [this](const Id128& call_id, std::size_t size) {
              this->call_ends.push_back({this->total_written + size, call_id});
            }),
      reader(options.chunk_bytes + kFrameSlackBytes) {}

void Connection::Start(ConnectionHooks connection_hooks) {
  this->hooks = std::move(connection_hooks);
  asio::error_code error;
  this->socket.set_option(asio::ip::tcp::no_delay(true), error);
  if (!error) this->socket.non_blocking(true, error);
  if (error) return this->Fail(error.message());
  LimitUnsentBytes(this->socket);
  ++this->counters->links_opened;
  this->Read();
}

void Connection::Push(OutgoingMessage message) { this->queue.Push(std::move(message)); }

void Connection::PushFrame(int field_number, const google::protobuf::MessageLite& message) {
  OutgoingMessage outgoing;
  AppendFrame(field_number, message, &outgoing.frame);
  this->queue.Push(std::move(outgoing));
}

void Connection::PushUrgent(int field_number, const google::protobuf::MessageLite& message) {
  OutgoingMessage outgoing;
  AppendFrame(field_number, message, &outgoing.frame);
  this->queue.PushFirst(std::move(outgoing));
}

void Connection::PushDeferred(int field_number, const google::protobuf::MessageLite& message) {
  AppendFrame(field_number, message, &this->deferred);
}

void Connection::FlushAll() {
  if (!this->deferred.empty()) {
    OutgoingMessage outgoing;
    outgoing.frame = std::exchange(this->deferred, {});
    this->queue.Push(std::move(outgoing));
  }
  this->Flush();
}

void Connection::Flush() {
  if (!this->open || this->waiting_until_writable || this->dispatching) return;
  for (int writes = 0; writes < kMaxWritesPerFlush; ++writes) {
    if (!this->WriteOnce()) return;
  }
  const bool more = this->buffer_written < this->buffer.size() || !this->queue.Empty();
  if (more) this->WaitUntilWritable();
}

/// Returns false if there is nothing to write or the socket accepts no more now.
bool Connection::WriteOnce() {
  if (this->buffer_written == this->buffer.size()) {
    this->buffer.clear();
    this->buffer_written = 0;
    this->queue.Fill(kWriteBufferBytes, &this->buffer);
    if (this->buffer.empty()) {
      if (this->buffer.capacity() > kMaxIdleBufferBytes) this->buffer = std::string();
      return false;
    }
    // Appended last, so that the reported end positions of calls in the buffer stay valid.
    this->buffer.append(this->deferred);
    this->deferred.clear();
  }
  asio::error_code error;
  const auto rest = asio::buffer(this->buffer) + this->buffer_written;
  const std::size_t size = this->socket.write_some(rest, error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    this->WaitUntilWritable();
    return false;
  }
  if (error) {
    this->Fail(error.message());
    return false;
  }
  this->buffer_written += size;
  this->total_written += size;
  this->counters->bytes_out += size;
  this->ReportHandedOver();
  return this->open;
}

void Connection::WaitUntilWritable() {
  this->waiting_until_writable = true;
  this->socket.async_wait(asio::ip::tcp::socket::wait_write,
                          [self = this->shared_from_this()](const asio::error_code& error) {
                            self->waiting_until_writable = false;
                            if (!error) self->Flush();
                          });
}

void Connection::ReportHandedOver() {
  while (!this->call_ends.empty() && this->call_ends.front().position <= this->total_written) {
    const Id128 call_id = this->call_ends.front().call_id;
    this->call_ends.pop_front();
    if (this->hooks.on_call_handed_over) this->hooks.on_call_handed_over(call_id);
  }
}

void Connection::Read() {
  const auto space = this->reader.Prepare();
  this->socket.async_read_some(asio::buffer(space.data(), space.size()),
                               [self = this->shared_from_this(), capacity = space.size()](
                                   const asio::error_code& error, std::size_t size) {
                                 if (!self->open) return;
                                 if (error) return self->Fail(error.message());
                                 self->OnRead(size, size == capacity);
                               });
}

/// Reads on while there is more, so that a call and the cancel behind it are seen together.
void Connection::OnRead(std::size_t size, bool was_full) {
  this->Take(size);
  for (int reads = 1; was_full && this->open && reads < kMaxReadsInARow; ++reads) {
    was_full = this->ReadMore();
  }
  if (!this->open) return;
  this->Flush();
  if (this->open) this->Read();
}

bool Connection::ReadMore() {
  const auto space = this->reader.Prepare();
  asio::error_code error;
  const std::size_t size = this->socket.read_some(asio::buffer(space.data(), space.size()), error);
  if (error == asio::error::would_block || error == asio::error::try_again) return false;
  if (error) {
    this->Fail(error.message());
    return false;
  }
  this->Take(size);
  return size == space.size();
}

void Connection::Take(std::size_t size) {
  this->last_received = SteadyClock::now();
  this->counters->bytes_in += size;
  this->reader.Commit(size);
  this->DispatchFrames();
}

void Connection::DispatchFrames() {
  this->dispatching = true;
  pb::Frame frame;
  while (this->open) {
    const auto bytes = this->reader.Next();
    if (!bytes) break;
    const bool parsed = frame.ParseFromArray(bytes->data(), static_cast<int>(bytes->size()));
    if (!parsed || frame.body_case() == pb::Frame::BODY_NOT_SET) {
      this->Fail("malformed frame");
      break;
    }
    this->hooks.on_frame(frame);
  }
  this->dispatching = false;
  if (this->open && this->reader.Malformed()) this->Fail("frame length out of range");
}

void Connection::Fail(std::string reason) {
  if (!this->open) return;
  this->CloseSocket();
  asio::post(this->socket.get_executor(),
             [self = this->shared_from_this(), reason = std::move(reason)] {
               if (!self->closed_by_owner) self->hooks.on_closed(reason);
             });
}

void Connection::Close() {
  this->closed_by_owner = true;
  this->CloseSocket();
}

void Connection::Abort() {
  asio::error_code ignored;
  this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  this->Close();
}

void Connection::CloseSocket() {
  this->open = false;
  asio::error_code ignored;
  this->socket.close(ignored);
}

}  // namespace fireflyrun::peer
