#pragma once

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/timer_service.h"
#include "common/timer_subscription.h"
#include "peer/backoff.h"
#include "peer/connection.h"
#include "peer/pending_call.h"
#include "peer/remote_clock.h"
#include "peer/unconfirmed_cancels.h"

namespace fireflyrun::peer {

/// The calling side's link to one incarnation of a node: the calls waiting for answers and at most
/// one connection, opened on demand and replaced if nothing is received on it.
class Link : public std::enable_shared_from_this<Link> {
 public:
  /// Returns a number higher than those of all earlier connections.
  using NumberSource = std::function<std::uint64_t()>;

  Link(TimerService& timer_service, const LinkOptions& link_options, PeerAddress peer_address,
       std::shared_ptr<LinkCounters> link_counters, NumberSource number_source);

  void Send(const Id128& call_id, Call call, SteadyTime deadline, LinkPool::AnswerHandler handler);
  /// Drops a call without running its handler, and cancels it at the remote node if it may have
  /// arrived there, also if the connection is lost meanwhile. Returns false if the call is not
  /// pending here.
  bool Cancel(const Id128& call_id);
  /// Sets the address for the next connection.
  void SetAddress(const PeerAddress& new_address) { this->address = new_address; }
  /// Cancels the pending calls and closes the connection; their handlers run later on the loop.
  void Close();
  /// Closes the connection and drops the handlers.
  void Drop();

  const PeerAddress& Address() const { return this->address; }
  bool HasCall(const Id128& call_id) const { return this->calls.contains(call_id); }
  std::size_t PendingCalls() const { return this->calls.size(); }
  std::size_t PendingCancels() const { return this->cancels.Size(); }
  bool IsOpen() const { return this->state == State::kOpen; }
  bool IsUnused() const { return this->state == State::kClosed && !this->NeedsConnection(); }
  Duration OneWayDelay() const { return this->round_trip / 2; }

 private:
  enum class State { kClosed, kConnecting, kHandshaking, kOpen, kBackingOff };
  using Calls = std::unordered_map<Id128, PendingCall>;
  using Result = tl::expected<Answer, LinkError>;
  using CallFilter = std::function<bool(const PendingCall&)>;

  void Connect();
  void OnConnected(asio::ip::tcp::socket socket);
  void OnConnectFailed(const std::string& reason);
  void OnConnectionLost(const std::string& reason);
  void OnHello(const pb::Hello& hello);
  void CloseConnection();
  void AbortConnection();
  /// True while there is something that the remote node has to be told or asked.
  bool NeedsConnection() const { return !this->calls.empty() || !this->cancels.Empty(); }
  void StopTicking();
  void CloseIdle();

  void OnFrame(pb::Frame& frame);
  void OnAnswerHead(pb::AnswerHead& head);
  void OnAnswerChunk(pb::BodyChunk& chunk);
  void OnStateReport(const pb::StateReport& report);
  void OnHeartbeatReply(const pb::Heartbeat& heartbeat);
  void OnHandedOver(const Id128& call_id);
  void OnDeadline(const Id128& call_id);

  void Queue(const Id128& call_id, PendingCall& pending);
  /// States the call's deadline by the remote node's clock, if that is known. `queued_at`: since
  /// when the wait in the queue is taken off deadline_us.
  void SetExpiry(SteadyTime queued_at, Call& call) const;
  void PushHeartbeat();
  void PushQuery(const Id128& call_id);
  void PushCancel(const Id128& call_id);
  void SendCancelsAgain();
  /// Cancels all pending calls, just before the connection is closed.
  void CancelAll();
  void Acknowledge(const Id128& call_id);
  void Tick();
  void StartTicking();
  void ArmTick();
  bool HeartbeatDue(SteadyTime now) const;
  SteadyTime LastReceived() const;

  void Finish(Calls::iterator call, Result result);
  void FinishError(Calls::iterator call, LinkErrorKind kind, std::string message);
  /// Ends all calls to which `kind` applies: those handed over to the kernel if it is kUnknown,
  /// otherwise those not handed over. The former are cancelled if the remote node is reached again
  /// before their deadlines. Calls for which `keeps` holds go on.
  void FinishAll(LinkErrorKind kind, const std::string& message, const CallFilter& keeps = nullptr);
  /// Ends the calls sent to a node that has been silent for the give-up timeout.
  void GiveUpSentCalls();

  TimerService& timers;
  const LinkOptions& options;
  PeerAddress address;
  std::shared_ptr<LinkCounters> counters;
  NumberSource next_number;
  State state = State::kClosed;
  std::shared_ptr<Connection> connection;
  std::shared_ptr<asio::ip::tcp::socket> connecting_socket;
  TimerSubscription connect_timer;
  TimerSubscription tick_timer;
  Backoff backoff;
  Calls calls;
  UnconfirmedCancels cancels;
  SteadyTime last_received;  ///< Last receipt on earlier connections.
  SteadyTime pending_since;  ///< Calls are pending since; reset after a pause of this process.
  SteadyTime last_used;
  SteadyTime last_tick;
  SteadyTime last_heartbeat;
  Duration round_trip{};
  RemoteClock remote_clock;
  BootTime hello_sent_at;
  bool tick_running = false;
  bool node_ended = false;  ///< Nothing listens at the address, by the latest attempt to connect.
};

}  // namespace fireflyrun::peer
