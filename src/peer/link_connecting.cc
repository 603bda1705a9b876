// The part of Link that opens its connection, exchanges Hello frames on it and replaces it.
#include <algorithm>
#include <asio/ip/address.hpp>
#include <utility>

#include "peer/boot_time_codec.h"
#include "peer/link.h"
#include "peer/peer.pb.h"

namespace fireflyrun::peer {
namespace {

/// Binds the socket to this node's own address, so that the remote node sees it on hosts with
/// several addresses. Errors are ignored: the system then chooses an address, or the connection
/// attempt fails.
void BindToOwnAddress(asio::ip::tcp::socket& socket, const asio::ip::address& remote,
                      const std::string& own_ip) {
  asio::error_code error;
  const auto own = asio::ip::make_address(own_ip, error);
  if (error || own.is_unspecified() || own.is_v4() != remote.is_v4()) return;
  socket.open(remote.is_v4() ? asio::ip::tcp::v4() : asio::ip::tcp::v6(), error);
  if (!error) socket.bind({own, 0}, error);
}

}  // namespace

void Link::Connect() {
  this->state = State::kConnecting;
  asio::error_code error;
  const auto ip = asio::ip::make_address(this->address.ip, error);
  const std::weak_ptr<Link> weak = this->weak_from_this();
  if (error) {
    this->connect_timer = this->timers.After(
        Duration::zero(), [this] { this->OnConnectFailed("bad address " + this->address.ip); });
    return;
  }
  auto socket = std::make_shared<asio::ip::tcp::socket>(this->timers.Loop());
  this->connecting_socket = socket;
  BindToOwnAddress(*socket, ip, this->options.ip);
  this->connect_timer = this->timers.After(this->options.connect_timeout, [this] {
    this->node_ended = false;
    this->OnConnectFailed("the connection attempt timed out");
  });
  socket->async_connect({ip, this->address.port}, [weak, socket](const asio::error_code& failure) {
    const auto self = weak.lock();
    if (!self || self->connecting_socket != socket) return;
    self->node_ended = failure == asio::error::connection_refused;
    if (failure) return self->OnConnectFailed(failure.message());
    self->OnConnected(std::move(*socket));
  });
}

void Link::OnConnected(asio::ip::tcp::socket socket) {
  this->connecting_socket.reset();
  this->state = State::kHandshaking;
  this->connection = std::make_shared<Connection>(std::move(socket), this->options, this->counters);
  const std::weak_ptr<Link> weak = this->weak_from_this();
  this->connection->Start({
      .on_frame =
          [weak](pb::Frame& frame) {
            if (const auto self = weak.lock()) self->OnFrame(frame);
          },
      .on_call_handed_over =
          [weak](const Id128& call_id) {
            if (const auto self = weak.lock()) self->OnHandedOver(call_id);
          },
      .on_closed =
          [weak](const std::string& reason) {
            if (const auto self = weak.lock()) self->OnConnectionLost(reason);
          },
  });
  pb::Hello hello;
  hello.set_cluster(this->options.cluster);
  hello.set_node(this->options.node);
  hello.set_incarnation(this->options.incarnation);
  hello.set_link_number(this->next_number());
  this->hello_sent_at = BootClock::now();
  hello.set_boot_us(EncodeBootTime(this->hello_sent_at));
  this->connection->PushFrame(pb::Frame::kHelloFieldNumber, hello);
  this->connection->Flush();
}

void Link::OnHello(const pb::Hello& hello) {
  if (hello.cluster() != this->options.cluster || hello.node() != this->address.node) {
    return this->OnConnectFailed("another node answers at the address");
  }
  if (hello.incarnation() != this->address.incarnation) {
    this->OnConnectFailed("another incarnation answers at the address");
    this->FinishAll(LinkErrorKind::kUnknown, "the remote node has restarted");
    return this->cancels.Clear();
  }
  if (const auto remote = DecodeBootTime(hello.boot_us())) {
    this->remote_clock.Add(this->hello_sent_at, *remote, BootClock::now());
  }
  this->connect_timer.Reset();
  this->backoff.Reset();
  this->state = State::kOpen;
  this->SendCancelsAgain();
  this->PushHeartbeat();
  for (auto& [call_id, pending] : this->calls) {
    if (pending.phase == PendingCall::Phase::kHandedOver) {
      this->PushQuery(call_id);
    } else {
      this->Queue(call_id, pending);
    }
  }
  this->connection->Flush();
}

/// Ends the calls not sent, so that the caller can try another node at once. Calls already sent
/// stay pending, to query their state on the next connection.
void Link::OnConnectFailed(const std::string& reason) {
  const auto self = this->shared_from_this();
  this->AbortConnection();
  this->state = State::kBackingOff;
  this->connect_timer = this->timers.After(this->backoff.Next(), [this] {
    this->state = State::kClosed;
    if (this->NeedsConnection()) this->Connect();
  });
  this->FinishAll(LinkErrorKind::kNotSent, reason);
}

void Link::OnConnectionLost(const std::string& reason) {
  if (this->state != State::kOpen) return this->OnConnectFailed(reason);
  const auto self = this->shared_from_this();
  this->AbortConnection();
  this->state = State::kClosed;
  // A partially received answer is sent again in full.
  for (auto& [call_id, pending] : this->calls) pending.answer.reset();
  this->FinishAll(LinkErrorKind::kNotSent, reason);
  if (this->state == State::kClosed && this->NeedsConnection()) this->Connect();
}

/// Calls left in the kernel would arrive after their callers have given them up.
void Link::AbortConnection() {
  if (this->connection) this->connection->Abort();
  this->CloseConnection();
}

void Link::CloseConnection() {
  this->connect_timer.Reset();
  if (const auto socket = std::exchange(this->connecting_socket, nullptr)) {
    asio::error_code ignored;
    socket->close(ignored);
  }
  if (!this->connection) return;
  this->last_received = std::max(this->last_received, this->connection->LastReceived());
  this->connection->Close();
  this->connection.reset();
}

}  // namespace fireflyrun::peer
