#include "membership/zero_mq_transport.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <deque>
#include <map>
#include <stdexcept>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "common/clock.h"

namespace fireflyrun::membership {

namespace {

constexpr int kIoThreads = 1;
constexpr int kEvictionLingerMs = 200;
constexpr int kReconnectMs = 200;
constexpr int kMaxReconnectMs = 2000;
constexpr int kBacklog = 1024;  // A fleet collection makes a whole zone connect at once.
constexpr int kKeepaliveIdleSeconds = 30;
/// A connection that does not respond to a heartbeat (ZMTP 3.1) within the limit is replaced.
constexpr int kHeartbeatPeriodMs = 1000;
constexpr int kHeartbeatLimitMs = 2000;
constexpr int kReceivesPerTurn = 64;  // Then the event loop runs other handlers.

bool IsAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  asio::error_code error;
  asio::ip::make_address(address.substr(0, colon), error);
  return !error;
}

/// Returns the source address part of a ZeroMQ endpoint; empty if any address may be used.
std::string SourcePart(const std::string& ip) {
  asio::error_code error;
  const auto address = asio::ip::make_address(ip, error);
  return error || address.is_unspecified() ? "" : ip + ":0;";
}

}  // namespace

struct ZeroMqTransport::State : std::enable_shared_from_this<State> {
  struct Peer {
    zmq::socket_t socket;
    std::deque<std::string> waiting;
    SteadyTime used_at;
    SteadyTime waiting_since;
  };

  State(TimerService& timer_service, ZeroMqTransportOptions transport_options, ReceiveHook hook);

  void Bind();
  void WaitForMessages();
  void Receive();
  void ReceiveSome();
  Peer* PeerFor(const std::string& address);
  void Connect(Peer& peer, const std::string& address);
  void EvictOne();
  bool TrySend(Peer& peer, const std::string& bytes);
  void Enqueue(Peer& peer, std::string bytes);
  void ArmRetry();
  void Retry();
  bool DrainWaiting(Peer& peer);
  void Close();

  TimerService& timers;
  ZeroMqTransportOptions options;
  ReceiveHook receive;
  zmq::context_t context;
  zmq::socket_t inbox;
  asio::posix::stream_descriptor descriptor;
  std::map<std::string, Peer> peers;
  Counters counters;
  TimerSubscription retry;
  TimerSubscription continue_receiving;
  std::uint16_t port = 0;
  bool retry_armed = false;
  bool closed = false;
};

ZeroMqTransport::State::State(TimerService& timer_service, ZeroMqTransportOptions transport_options,
                              ReceiveHook hook)
    : timers(timer_service),
      options(std::move(transport_options)),
      receive(std::move(hook)),
      context(kIoThreads),
      inbox(context, zmq::socket_type::pull),
      descriptor(timer_service.Loop()) {}

void ZeroMqTransport::State::Bind() {
  this->inbox.set(zmq::sockopt::linger, 0);
  this->inbox.set(zmq::sockopt::backlog, kBacklog);
  this->inbox.set(zmq::sockopt::maxmsgsize,
                  static_cast<std::int64_t>(this->options.max_message_bytes));
  this->inbox.set(zmq::sockopt::tcp_keepalive, 1);
  this->inbox.set(zmq::sockopt::tcp_keepalive_idle, kKeepaliveIdleSeconds);
  const std::string port_text = this->options.port == 0 ? "*" : std::to_string(this->options.port);
  const std::string endpoint = "tcp://" + this->options.ip + ":" + port_text;
  try {
    this->inbox.bind(endpoint);
  } catch (const zmq::error_t& error) {
    throw std::runtime_error("control port " + endpoint + ": " + error.what());
  }
  const std::string bound = this->inbox.get(zmq::sockopt::last_endpoint);
  this->port = static_cast<std::uint16_t>(std::stoul(bound.substr(bound.rfind(':') + 1)));
  this->descriptor.assign(this->inbox.get(zmq::sockopt::fd));
}

void ZeroMqTransport::State::WaitForMessages() {
  // The descriptor is edge-triggered; Receive() after each wait also finds messages that arrived
  // before the wait began.
  this->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                              [weak = this->weak_from_this()](const asio::error_code& error) {
                                const auto self = weak.lock();
                                if (error || !self || self->closed) return;
                                self->WaitForMessages();
                                self->Receive();
                              });
}

void ZeroMqTransport::State::Receive() {
  this->ReceiveSome();
  if (this->closed) return;
  const int events = this->inbox.get(zmq::sockopt::events);
  if ((events & ZMQ_POLLIN) == 0) return;
  this->continue_receiving = this->timers.After(Duration::zero(), [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->closed) self->Receive();
  });
}

void ZeroMqTransport::State::ReceiveSome() {
  for (int i = 0; i < kReceivesPerTurn && !this->closed; ++i) {
    zmq::message_t message;
    if (!this->inbox.recv(message, zmq::recv_flags::dontwait)) return;
    ++this->counters.received;
    this->receive(message.to_string_view());
  }
}

void ZeroMqTransport::State::Connect(Peer& peer, const std::string& address) {
  zmq::socket_t socket(this->context, zmq::socket_type::push);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::immediate, 1);
  socket.set(zmq::sockopt::sndhwm, this->options.high_water_mark);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
  const auto timeout = ToMilliseconds(this->options.connect_timeout).count();
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatPeriodMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatLimitMs);
  socket.set(zmq::sockopt::connect_timeout, static_cast<int>(timeout));
  socket.connect("tcp://" + SourcePart(this->options.ip) + address);
  peer.socket = std::move(socket);
}

ZeroMqTransport::State::Peer* ZeroMqTransport::State::PeerFor(const std::string& address) {
  const auto found = this->peers.find(address);
  if (found != this->peers.end()) return &found->second;
  if (!IsAddress(address)) return nullptr;
  if (this->peers.size() >= this->options.max_peers) this->EvictOne();
  Peer peer;
  try {
    this->Connect(peer, address);
  } catch (const zmq::error_t&) {
    return nullptr;
  }
  return &this->peers.emplace(address, std::move(peer)).first->second;
}

void ZeroMqTransport::State::EvictOne() {
  const auto oldest = std::min_element(this->peers.begin(), this->peers.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second.used_at < right.second.used_at;
                                       });
  if (oldest == this->peers.end()) return;
  Peer& peer = oldest->second;
  this->counters.dropped_unconnected += peer.waiting.size();
  // ZeroMQ's thread still sends the messages that the socket accepted.
  peer.socket.set(zmq::sockopt::linger, kEvictionLingerMs);
  this->peers.erase(oldest);
  ++this->counters.evicted;
}

bool ZeroMqTransport::State::TrySend(Peer& peer, const std::string& bytes) {
  const bool taken = peer.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
  if (taken) ++this->counters.sent;
  return taken;
}

void ZeroMqTransport::State::Enqueue(Peer& peer, std::string bytes) {
  if (peer.waiting.size() >= this->options.max_waiting_messages) {
    ++this->counters.dropped_full;
    return;
  }
  if (peer.waiting.empty()) peer.waiting_since = SteadyClock::now();
  peer.waiting.push_back(std::move(bytes));
  this->ArmRetry();
}

void ZeroMqTransport::State::ArmRetry() {
  if (this->retry_armed) return;
  this->retry_armed = true;
  this->retry = this->timers.After(this->options.retry_period, [this] { this->Retry(); });
}

void ZeroMqTransport::State::Retry() {
  this->retry_armed = false;
  bool any_waiting = false;
  const SteadyTime now = SteadyClock::now();
  for (auto item = this->peers.begin(); item != this->peers.end();) {
    Peer& peer = item->second;
    const bool is_drained = this->DrainWaiting(peer);
    if (!is_drained && now - peer.waiting_since >= this->options.connect_timeout) {
      this->counters.dropped_unconnected += peer.waiting.size();
      item = this->peers.erase(item);
      continue;
    }
    any_waiting |= !is_drained;
    ++item;
  }
  if (any_waiting) this->ArmRetry();
}

bool ZeroMqTransport::State::DrainWaiting(Peer& peer) {
  while (!peer.waiting.empty()) {
    if (!this->TrySend(peer, peer.waiting.front())) return false;
    peer.waiting.pop_front();
    peer.waiting_since = SteadyClock::now();
  }
  return true;
}

void ZeroMqTransport::State::Close() {
  this->closed = true;
  this->retry.Reset();
  this->continue_receiving.Reset();
  // The descriptor is owned by ZeroMQ.
  if (this->descriptor.is_open()) this->descriptor.release();
  this->peers.clear();
}

ZeroMqTransport::ZeroMqTransport(TimerService& timers, ZeroMqTransportOptions options,
                                 ReceiveHook receive)
    : state(std::make_shared<State>(timers, std::move(options), std::move(receive))) {
  this->state->Bind();
  this->state->WaitForMessages();
}

ZeroMqTransport::~ZeroMqTransport() { this->state->Close(); }

void ZeroMqTransport::Send(const std::string& address, std::string bytes) {
  State::Peer* peer = this->state->PeerFor(address);
  if (peer == nullptr) {
    ++this->state->counters.dropped_unconnected;
    return;
  }
  peer->used_at = SteadyClock::now();
  const bool is_in_order = peer->waiting.empty();
  if (is_in_order && this->state->TrySend(*peer, bytes)) return;
  this->state->Enqueue(*peer, std::move(bytes));
}

std::uint16_t ZeroMqTransport::Port() const { return this->state->port; }

const ZeroMqTransport::Counters& ZeroMqTransport::GetCounters() const {
  return this->state->counters;
}

}  // namespace fireflyrun::membership
