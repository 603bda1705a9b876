#include "http/call_server_core.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <asio/error.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "http/call_connection.h"
#include "http/rejection.h"
#include "http/status.h"

namespace fireflyrun::http {
namespace {

constexpr int kBacklog = 1024;
/// Deadlines are acted on up to this late, so that one timer serves all of them.
constexpr std::chrono::milliseconds kSweepPeriod(250);
/// A timer that is later than this tells that the process did not run, so neither did it read.
constexpr std::chrono::seconds kStallTime(1);
constexpr std::chrono::milliseconds kAcceptPause(100);
/// Connections that may wait for their last response to be read.
constexpr std::size_t kMaxClosing = 256;

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

void SetOptions(asio::ip::tcp::socket& socket, Duration unacknowledged_timeout) {
  asio::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto timeout = static_cast<int>(ToMilliseconds(unacknowledged_timeout).count());
  socket.set_option(UserTimeout(timeout), ignored);
}

void MoveTo(CallConnection::List& list, CallConnection& connection) {
  CallConnection::ListEntry& entry = connection.Entry();
  list.splice(list.end(), *entry.list, entry.position);
  entry.list = &list;
}

}  // namespace

CallServerCore::CallServerCore(asio::io_context& event_loop, CallServerOptions server_options,
                               CallServer::Handler request_handler)
    : loop(event_loop),
      options(std::move(server_options)),
      handler(std::move(request_handler)),
      acceptor(event_loop),
      accept_timer(event_loop),
      sweep_timer(event_loop) {}

tl::expected<void, std::string> CallServerCore::Start() {
  this->closed = false;
  this->draining = false;
  try {
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(this->options.address),
                                           this->options.port);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen(kBacklog);
    this->acceptor.non_blocking(true);
    this->port = this->acceptor.local_endpoint().port();
  } catch (const asio::system_error& error) {
    asio::error_code ignored;
    this->acceptor.close(ignored);
    return tl::make_unexpected("cannot listen on " + this->options.address + ":" +
                               std::to_string(this->options.port) + ": " + error.what());
  }
  this->Accept();
  return {};
}

void CallServerCore::Accept() {
  if (!this->acceptor.is_open()) return;
  this->acceptor.async_accept(this->accepted_endpoint,
                              [self = this->shared_from_this()](const asio::error_code& error,
                                                                asio::ip::tcp::socket socket) {
                                self->OnAccept(error, std::move(socket));
                              });
}

void CallServerCore::OnAccept(const asio::error_code& error, asio::ip::tcp::socket socket) {
  if (this->closed || error == asio::error::operation_aborted) return;
  if (error && error != asio::error::connection_aborted) return this->RetryAccept(error);
  if (!error) this->Adopt(std::move(socket), this->accepted_endpoint);
  this->Accept();
}

/// Without descriptors, say, the connection stays in the listener's queue: an idle one makes room.
void CallServerCore::RetryAccept(const asio::error_code& error) {
  if (error == asio::error::no_descriptors) this->CloseOneIdle();
  this->accept_timer.expires_after(kAcceptPause);
  this->accept_timer.async_wait([weak = this->weak_from_this()](const asio::error_code& cancelled) {
    const auto self = weak.lock();
    if (self && !cancelled) self->Accept();
  });
}

void CallServerCore::Adopt(asio::ip::tcp::socket socket, const asio::ip::tcp::endpoint& remote) {
  const bool has_room = this->MakeRoom();
  SetOptions(socket, this->options.unacknowledged_timeout);
  auto connection = std::make_shared<CallConnection>(this->shared_from_this(), std::move(socket),
                                                     remote.address().to_string(), ++this->last_id);
  connection->Entry() = {&this->busy, this->busy.insert(this->busy.end(), connection)};
  if (has_room) return connection->Start();
  connection->Refuse(RejectionText(kServiceUnavailable, {{"Retry-After", "1"}}));
}

bool CallServerCore::MakeRoom() {
  const std::size_t limit = this->options.max_connections;
  const bool full = limit > 0 && this->idle.size() + this->busy.size() >= limit;
  return !full || this->CloseOneIdle();
}

bool CallServerCore::CloseOneIdle() {
  for (auto next = this->idle.begin(); next != this->idle.end();) {
    const std::shared_ptr<CallConnection> connection = *next++;
    if (connection->CloseIfIdle()) return true;
  }
  return false;
}

void CallServerCore::StopAccepting() {
  this->draining = true;
  if (!this->acceptor.is_open()) return;
  this->AcceptBacklog();
  asio::error_code ignored;
  this->acceptor.close(ignored);
  this->accept_timer.cancel();
}

void CallServerCore::AcceptBacklog() {
  asio::error_code error;
  while (!error) {
    asio::ip::tcp::endpoint remote;
    asio::ip::tcp::socket socket(this->loop);
    this->acceptor.accept(socket, remote, error);
    if (!error) this->Adopt(std::move(socket), remote);
    if (error == asio::error::connection_aborted) error.clear();
  }
}

void CallServerCore::Handle(Request request, std::shared_ptr<Exchange> exchange) {
  ++this->open_exchanges;
  this->handler(std::move(request), std::move(exchange));
}

void CallServerCore::MarkBusy(CallConnection& connection) { MoveTo(this->busy, connection); }

void CallServerCore::MarkIdle(CallConnection& connection) { MoveTo(this->idle, connection); }

void CallServerCore::MarkClosing(CallConnection& connection) {
  MoveTo(this->closing, connection);
  if (this->closing.size() <= kMaxClosing) return;
  const std::shared_ptr<CallConnection> oldest = this->closing.front();
  oldest->Close();
}

void CallServerCore::Remove(CallConnection& connection) {
  CallConnection::ListEntry& entry = connection.Entry();
  entry.list->erase(entry.position);
}

CallServerCore::Connections CallServerCore::AllConnections() const {
  Connections all = this->idle;
  all.insert(all.end(), this->busy.begin(), this->busy.end());
  all.insert(all.end(), this->closing.begin(), this->closing.end());
  return all;
}

void CallServerCore::SweepBy(SteadyTime deadline) {
  if (deadline == SteadyTime::max()) return;
  const SteadyTime at = deadline + kSweepPeriod;
  if (at >= this->sweep_at) return;
  this->sweep_at = at;
  this->sweep_timer.expires_at(at);
  this->sweep_timer.async_wait([weak = this->weak_from_this()](const asio::error_code& cancelled) {
    const auto self = weak.lock();
    if (self && !cancelled) self->Sweep();
  });
}

void CallServerCore::Sweep() {
  const SteadyTime now = SteadyClock::now();
  const Duration late = now - std::exchange(this->sweep_at, SteadyTime::max());
  SteadyTime next = SteadyTime::max();
  for (const auto& connection : this->AllConnections()) {
    if (late > kStallTime) connection->Postpone(late + 2 * kSweepPeriod);
    if (connection->Deadline() <= now) connection->Expire(now);
    next = std::min(next, connection->Deadline());
  }
  this->SweepBy(next);
}

void CallServerCore::CloseConnection(std::uint64_t id) {
  const Connections all = this->AllConnections();
  const auto found = std::find_if(all.begin(), all.end(),
                                  [id](const auto& connection) { return connection->Id() == id; });
  if (found != all.end()) (*found)->Close();
}

void CallServerCore::Close() {
  this->closed = true;
  this->draining = true;
  asio::error_code ignored;
  this->acceptor.close(ignored);
  this->accept_timer.cancel();
  this->sweep_timer.cancel();
  for (const auto& connection : this->AllConnections()) connection->Drop();
}

}  // namespace fireflyrun::http
