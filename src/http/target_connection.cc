#include "http/target_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/detail/socket_option.hpp>
#include <cerrno>
#include <utility>

#include "http/target_address.h"

namespace fireflyrun::http {
namespace {

/// Failures on one connection; then it is closed.
constexpr std::size_t kMaxFailures = 32;

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

TargetConnection::TargetConnection(asio::io_context& loop, TargetAddress& target_address,
                                   std::shared_ptr<const Hooks> event_hooks)
    : socket(loop), address(target_address), hooks(std::move(event_hooks)) {}

asio::error_code TargetConnection::Connect(Duration unacknowledged_limit) {
  asio::error_code error;
  asio::error_code ignored;
  this->socket.open(this->address.Endpoint().protocol(), error);
  if (error) return error;
  this->socket.non_blocking(true, ignored);
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto limit = static_cast<int>(ToMilliseconds(unacknowledged_limit).count());
  this->socket.set_option(UserTimeout(limit), ignored);
  this->socket.async_connect(this->address.Endpoint(),
                             [self = this->shared_from_this()](const asio::error_code& failure) {
                               if (self->closed) return;
                               const auto outcome = failure ? failure : self->WatchAnew();
                               self->hooks->on_connected(*self, outcome);
                             });
  return {};
}

/// Asio goes on watching a socket for writing once it has waited for that, as connecting does. Each
/// wait for an answer then wakes the loop at once, as there is room to write.
asio::error_code TargetConnection::WatchAnew() {
  asio::error_code error;
  const auto descriptor = this->socket.release(error);
  if (!error) this->socket.assign(this->address.Endpoint().protocol(), descriptor, error);
  if (!error) this->socket.non_blocking(true, error);
  return error;
}

bool TargetConnection::IsQuiet() {
  char byte = 0;
  const auto peeked = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::size_t TargetConnection::Write(const std::array<asio::const_buffer, 2>& buffers,
                                    asio::error_code& error) {
  return this->socket.write_some(buffers, error);
}

std::size_t TargetConnection::Read(const asio::mutable_buffer& buffer, asio::error_code& error) {
  return this->socket.read_some(buffer, error);
}

void TargetConnection::WatchReads() {
  this->socket.async_wait(asio::ip::tcp::socket::wait_read,
                          [self = this->shared_from_this()](const asio::error_code&) {
                            if (self->closed) return;
                            self->hooks->on_readable(*self);
                            if (!self->closed) self->WatchReads();
                          });
}

void TargetConnection::WatchWrites() {
  if (this->watches_writes) return;
  this->watches_writes = true;
  this->socket.async_wait(asio::ip::tcp::socket::wait_write,
                          [self = this->shared_from_this()](const asio::error_code&) {
                            self->watches_writes = false;
                            if (!self->closed) self->hooks->on_writable(*self);
                          });
}

void TargetConnection::AddFailure(const std::string& echo) {
  if (!echo.empty()) this->failed_echoes.push_back(echo);
}

bool TargetConnection::HasFailed(std::string_view echo) const {
  const auto& echoes = this->failed_echoes;
  return std::find(echoes.begin(), echoes.end(), echo) != echoes.end();
}

bool TargetConnection::MayFailAgain() const { return this->failed_echoes.size() < kMaxFailures; }

void TargetConnection::Close() {
  asio::error_code ignored;
  this->closed = true;
  this->socket.close(ignored);
}

void TargetConnection::Abort() {
  asio::error_code ignored;
  this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  this->Close();
}

}  // namespace fireflyrun::http
