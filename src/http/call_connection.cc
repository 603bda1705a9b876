#include "http/call_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <cerrno>
#include <chrono>
#include <utility>

#include "http/call_exchange.h"
#include "http/call_server_core.h"
#include "http/headers.h"
#include "http/rejection.h"
#include "http/rejection_log.h"
#include "http/response_head.h"
#include "http/status.h"

namespace fireflyrun::http {
namespace {

constexpr std::size_t kInputBytes = 4096;
constexpr std::size_t kBodyInputBytes = std::size_t{32} << 10;
/// What is read of further requests while one is handled.
constexpr std::size_t kReadAheadBytes = std::size_t{8} << 10;
constexpr std::size_t kWriteBytes = std::size_t{256} << 10;
/// Callers reuse a connection until shortly before the time that they were told.
constexpr std::chrono::milliseconds kIdleMargin(250);
constexpr std::chrono::milliseconds kUnreadBytesGrace(250);
/// How often a connection is polled for its end while its request is in progress and no more of it
/// is read.
constexpr std::chrono::milliseconds kEndPollPeriod(100);
/// How long and how much is read and dropped after the last response: closing with unread bytes
/// would reset the connection and could destroy the response on its way.
constexpr std::chrono::seconds kClosingTime(5);
constexpr std::size_t kClosingBytes = std::size_t{64} << 20;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";

}  // namespace

CallConnection::CallConnection(std::shared_ptr<CallServerCore> server,
                               asio::ip::tcp::socket connected, std::string address,
                               std::uint64_t connection_id)
    : core(std::move(server)),
      socket(std::move(connected)),
      remote_address(std::move(address)),
      id(connection_id),
      held_request(this->core->Held(), policy::MessageKind::kRequest),
      held_response(this->core->Held(), policy::MessageKind::kAnswer),
      limits(this->core->Limits()) {
  asio::error_code ignored;
  this->socket.non_blocking(true, ignored);
}

void CallConnection::Start() {
  this->BecomeIdle();
  this->Read();
}

void CallConnection::Refuse(std::string text) {
  if (this->continue_pending) return this->Close();
  LogRejection(this->remote_address, text);
  this->reader.Begin(this->limits);
  this->held_request.Set(0);
  this->response_head = std::move(text);
  this->response_body.clear();
  this->close_after = true;
  this->Write();
  this->Read();
}

void CallConnection::Respond(std::uint64_t request_number, Response response) {
  if (!this->Awaits(request_number)) return;
  const auto hook = std::exchange(this->caller_gone_hook, nullptr);
  const bool close = this->core->Draining() || HasConnectionOption(response.headers, "close");
  this->close_after = this->close_after || close;
  const ResponseFraming framing = {this->head_only, this->close_after, this->limits.idle_timeout};
  WriteResponseHead(response, framing, this->response_head);
  const bool has_body = !this->head_only && !NeverHasBody(response.status);
  this->response_body = has_body ? std::move(response.body) : std::string();
  this->held_response.Set(this->response_head.size() + this->response_body.size());
  this->Write();
}

void CallConnection::SetHook(std::uint64_t request_number, std::function<void()> hook) {
  const bool gone = this->caller_gone && request_number == this->requests;
  if (!gone && !this->Awaits(request_number)) return;
  this->caller_gone_hook = std::move(hook);
  if (gone) this->PostHook();
}

void CallConnection::ForgetHook(std::uint64_t request_number) {
  if (request_number == this->requests) this->caller_gone_hook = nullptr;
}

bool CallConnection::Awaits(std::uint64_t request_number) const {
  return this->phase == Phase::kHandling && request_number == this->requests;
}

void CallConnection::PostHook() {
  asio::post(this->core->Loop(), [self = this->shared_from_this()] {
    if (const auto hook = std::exchange(self->caller_gone_hook, nullptr)) hook();
  });
}

void CallConnection::Expire(SteadyTime now) {
  switch (this->phase) {
    case Phase::kIdle:
      this->deadline = this->IdleEnd();
      if (this->deadline > now || this->CloseIfIdle()) return;
      this->deadline = now + kUnreadBytesGrace;
      return;
    case Phase::kReading:
      if (!this->HasUnreadBytes()) return this->Refuse(RejectionText(kRequestTimeout));
      this->deadline = now + kUnreadBytesGrace;
      return;
    case Phase::kHandling:
      return this->PollForEnd();
    case Phase::kWriting:
    case Phase::kClosing:
    case Phase::kClosed:
      return this->Close();
  }
}

void CallConnection::Postpone(Duration time) {
  if (this->deadline == SteadyTime::max()) return;
  this->deadline += time;
  this->idle_since += time;
}

bool CallConnection::CloseIfIdle() {
  if (this->phase != Phase::kIdle || this->HasUnreadBytes()) return false;
  this->Close();
  return true;
}

void CallConnection::Close() { this->Shut(this->phase == Phase::kHandling); }

void CallConnection::Drop() {
  this->caller_gone_hook = nullptr;
  this->Shut(false);
}

void CallConnection::Shut(bool caller_left) {
  if (this->phase == Phase::kClosed) return;
  const auto self = this->shared_from_this();
  this->phase = Phase::kClosed;
  this->deadline = SteadyTime::max();
  if (std::exchange(this->open_exchange, false)) this->core->EndExchange();
  asio::error_code ignored;
  this->socket.close(ignored);
  this->held_request.Set(0);
  this->held_response.Set(0);
  this->core->Remove(*this);
  this->caller_gone = caller_left;
  if (!caller_left) return;
  ++this->core->Counters().callers_gone_waiting;
  this->PostHook();
}

void CallConnection::Read() {
  if (this->read_pending || this->input_ended || this->phase == Phase::kClosed) return;
  if (this->HasReadAheadEnough()) {
    if (this->phase == Phase::kHandling) this->SetDeadline(kEndPollPeriod);
    return;
  }
  this->read_pending = true;
  this->socket.async_read_some(
      this->input.Prepare(this->InputCapacity()),
      [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
        self->OnRead(error, size);
      });
}

bool CallConnection::HasReadAheadEnough() const {
  const bool reads_ahead =
      this->continue_pending || this->phase == Phase::kHandling || this->phase == Phase::kWriting;
  return reads_ahead && this->input.Data().size() >= kReadAheadBytes;
}

/// Reading would not show the end of the input, as unread bytes come before it.
void CallConnection::PollForEnd() {
  pollfd state = {this->socket.native_handle(), POLLRDHUP, 0};
  if (::poll(&state, 1, 0) > 0) return this->Close();
  this->SetDeadline(kEndPollPeriod);
}

/// True when the caller has closed and nothing else is left to be read.
bool CallConnection::CallerHasLeft() {
  char byte = 0;
  const auto peeked = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

/// How long ago the last bytes arrived; zero where the kernel doesn't tell.
Duration CallConnection::UnreadTime() {
  tcp_info info{};
  socklen_t size = sizeof info;
  const int descriptor = this->socket.native_handle();
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

std::size_t CallConnection::InputCapacity() const {
  const bool reads_body = this->phase == Phase::kReading && this->reader.HeadComplete();
  return reads_body ? kBodyInputBytes : kInputBytes;
}

void CallConnection::OnRead(const asio::error_code& error, std::size_t size) {
  this->read_pending = false;
  if (this->phase == Phase::kClosed) return;
  if (error) return this->OnInputEnded(error != asio::error::eof);
  if (this->DropsInput()) {
    this->DropInput(size);
  } else {
    this->input.Commit(size);
    this->Advance();
  }
  this->Read();
}

/// A caller that closed its sending side while its response is written gets the rest of it.
void CallConnection::OnInputEnded(bool reset) {
  this->input_ended = true;
  if (this->phase == Phase::kWriting && !reset) return;
  this->Close();
}

bool CallConnection::DropsInput() const {
  if (this->phase == Phase::kClosing) return true;
  return this->phase != Phase::kIdle && this->phase != Phase::kReading && this->close_after;
}

void CallConnection::DropInput(std::size_t size) {
  this->dropped_bytes += size;
  if (this->dropped_bytes > kClosingBytes) this->Close();
}

/// Reads on in the buffered bytes, unless a request or a response is under way.
void CallConnection::Advance() {
  if (this->continue_pending) return;
  if (this->phase == Phase::kIdle) {
    while (this->input.Data().starts_with(kLineEnd)) this->input.Consume(kLineEnd.size());
    if (this->input.Data().empty()) return;
    this->BeginRequest();
  }
  if (this->phase != Phase::kReading) return;
  const auto step = this->reader.Consume(this->input.Data());
  if (!step) return this->Refuse(RejectionText(step.error()));
  this->input.Consume(step->consumed);
  this->ContinueRequest(step->progress);
}

void CallConnection::BeginRequest() {
  this->phase = Phase::kReading;
  this->deadline = SteadyTime::max();
  this->continue_sent = false;
  this->limits = this->core->Limits();
  this->reader.Begin(this->limits);
  this->core->MarkBusy(*this);
}

void CallConnection::ContinueRequest(RequestReader::Progress progress) {
  switch (progress) {
    case RequestReader::Progress::kNeedsHead:
      if (!this->HoldRequest()) return this->RefuseForRoom();
      if (this->deadline == SteadyTime::max()) this->SetDeadline(this->limits.header_timeout);
      return;
    case RequestReader::Progress::kNeedsBody:
      if (!this->HoldRequest()) return this->RefuseForRoom();
      this->SetDeadline(this->limits.body_timeout);
      if (this->reader.Head().expects_continue) this->SendContinue();
      return;
    case RequestReader::Progress::kComplete:
      if (!this->HoldRequest()) return this->RefuseForRoom();
      return this->Dispatch();
  }
}

/// Counts what has been read of the request; false when there is no room for it.
bool CallConnection::HoldRequest() {
  const bool reads_head = !this->reader.HeadComplete();
  return this->held_request.Grow(reads_head ? this->input.Capacity() : this->reader.HeldBytes());
}

/// It has not run: the handler never sees it.
void CallConnection::RefuseForRoom() {
  this->Refuse(RejectionText(kServiceUnavailable, {{"Retry-After", "1"}}));
}

/// Asks for the body, once, if the caller has not begun to send it.
void CallConnection::SendContinue() {
  if (std::exchange(this->continue_sent, true)) return;
  if (this->reader.BodyBegun() || !this->input.Data().empty()) return;
  this->continue_pending = true;
  asio::async_write(this->socket, asio::buffer(kContinue),
                    [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
                      self->continue_pending = false;
                      if (self->phase == Phase::kClosed) return;
                      if (error) return self->Close();
                      self->Advance();
                      self->Read();
                    });
}

void CallConnection::Dispatch() {
  // A caller may have given up long before this process came to read its request.
  if (this->CallerHasLeft()) {
    ++this->core->Counters().callers_gone_unread;
    return this->Close();
  }
  this->phase = Phase::kHandling;
  this->deadline = SteadyTime::max();
  this->open_exchange = true;
  this->head_only = this->reader.Head().method == "HEAD";
  this->close_after = !this->reader.Head().keep_alive;
  Request request = this->reader.Take();
  request.remote_address = this->remote_address;
  request.connection_id = this->id;
  request.sequence = this->requests++;
  request.unread_time = this->UnreadTime();
  this->core->Handle(std::move(request),
                     std::make_shared<CallExchange>(this->shared_from_this(), this->requests));
}

/// Writes head and body at once, mostly without a turn of the event loop.
void CallConnection::Write() {
  this->phase = Phase::kWriting;
  std::array<asio::const_buffer, 2> unwritten = {asio::buffer(this->response_head),
                                                 asio::buffer(this->response_body)};
  asio::error_code error;
  std::size_t written = this->socket.write_some(unwritten, error);
  if (error && error != asio::error::would_block) return this->OnWritten(error);
  for (asio::const_buffer& buffer : unwritten) {
    const std::size_t size = std::min(written, buffer.size());
    buffer += size;
    written -= size;
  }
  if (asio::buffer_size(unwritten) == 0) return this->OnWritten({});
  this->WriteRest(unwritten);
}

/// Each part that the caller takes moves the deadline.
void CallConnection::WriteRest(const std::array<asio::const_buffer, 2>& unwritten) {
  const auto on_progress = [this](const asio::error_code& error, std::size_t) -> std::size_t {
    if (error || this->phase == Phase::kClosed) return 0;
    this->SetDeadline(this->limits.write_timeout);
    return kWriteBytes;
  };
  asio::async_write(this->socket, unwritten, on_progress,
                    [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
                      self->OnWritten(error);
                    });
}

void CallConnection::OnWritten(const asio::error_code& error) {
  if (this->phase == Phase::kClosed) return;
  if (std::exchange(this->open_exchange, false)) this->core->EndExchange();
  this->response_body = std::string();
  this->held_request.Set(0);
  this->held_response.Set(0);
  if (error) return this->Close();
  if (this->close_after || this->input_ended) return this->BeginClosing();
  this->BecomeIdle();
  this->Read();
  if (this->input.Data().empty()) return;
  // Not at once: whoever responded does not expect the handler to run before Respond() returns.
  asio::post(this->core->Loop(), [self = this->shared_from_this()] {
    self->Advance();
    self->Read();
  });
}

void CallConnection::BecomeIdle() {
  this->phase = Phase::kIdle;
  this->idle_since = SteadyClock::now();
  this->core->MarkIdle(*this);
  this->deadline = this->IdleEnd();
  this->core->SweepBy(this->deadline);
}

/// By the longer of the times that the caller may know: the one told with the last response, and
/// the one in force.
SteadyTime CallConnection::IdleEnd() const {
  const Duration time =
      std::max(this->limits.idle_timeout, this->core->Limits().idle_timeout) + kIdleMargin;
  return this->idle_since + time;
}

void CallConnection::BeginClosing() {
  if (this->input_ended) return this->Close();
  asio::error_code ignored;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  this->phase = Phase::kClosing;
  this->SetDeadline(kClosingTime);
  this->core->MarkClosing(*this);
  this->Read();
}

void CallConnection::SetDeadline(Duration time_limit) {
  this->deadline = SteadyClock::now() + time_limit;
  this->core->SweepBy(this->deadline);
}

bool CallConnection::HasUnreadBytes() const {
  if (this->phase == Phase::kIdle && !this->input.Data().empty()) return true;
  asio::error_code error;
  return this->socket.available(error) > 0 && !error;
}

}  // namespace fireflyrun::http
