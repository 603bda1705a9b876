#include "peer/link.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "peer/boot_time_codec.h"
#include "peer/checksum.h"
#include "peer/held_bytes_of.h"
#include "peer/peer.pb.h"

namespace fireflyrun::peer {
namespace {

LinkError ErrorOf(LinkErrorKind kind, std::string message) { return {kind, std::move(message)}; }

}  // namespace

Link::Link(TimerService& timer_service, const LinkOptions& link_options, PeerAddress peer_address,
           std::shared_ptr<LinkCounters> link_counters, NumberSource number_source)
    : timers(timer_service),
      options(link_options),
      address(std::move(peer_address)),
      counters(std::move(link_counters)),
      next_number(std::move(number_source)) {}

void Link::Send(const Id128& call_id, Call call, SteadyTime deadline,
                LinkPool::AnswerHandler handler) {
  const auto now = SteadyClock::now();
  if (this->calls.empty()) this->pending_since = now;
  this->last_used = now;
  PendingCall& pending = this->calls[call_id];
  pending.at_most_once = call.head.at_most_once();
  pending.call = std::make_unique<Call>(std::move(call));
  pending.sent_at = now;
  pending.deadline = deadline;
  pending.handler = std::move(handler);
  pending.deadline_timer = this->timers.After(std::max(deadline - now, Duration::zero()),
                                              [this, call_id] { this->OnDeadline(call_id); });
  if (!this->tick_running) this->StartTicking();
  if (this->state == State::kClosed) return this->Connect();
  if (this->state != State::kOpen) return;
  this->Queue(call_id, pending);
  this->connection->Flush();
}

bool Link::Cancel(const Id128& call_id) {
  const auto call = this->calls.find(call_id);
  if (call == this->calls.end()) return false;
  const bool waiting = call->second.phase == PendingCall::Phase::kWaiting;
  const SteadyTime deadline = call->second.deadline;
  this->calls.erase(call);
  if (waiting) return true;
  const bool open = this->state == State::kOpen;
  const auto removal = open ? this->connection->Remove(call_id) : FrameQueue::Removal::kNotFound;
  // A call whose frames were not all sent cannot run, so its cancel need not outlive the
  // connection.
  if (removal == FrameQueue::Removal::kNotFound) {
    this->cancels.Add(call_id, deadline, SteadyClock::now());
  }
  if (open && removal != FrameQueue::Removal::kNotStarted) this->PushCancel(call_id);
  if (!this->tick_running) this->StartTicking();
  return true;
}

void Link::Close() {
  if (this->state == State::kOpen) this->CancelAll();
  this->CloseConnection();
  this->tick_timer.Reset();
  this->state = State::kClosed;
  this->cancels.Clear();
  for (auto& [call_id, pending] : std::exchange(this->calls, {})) {
    const bool sent = pending.phase == PendingCall::Phase::kHandedOver;
    const auto kind = sent ? LinkErrorKind::kUnknown : LinkErrorKind::kNotSent;
    asio::post(this->timers.Loop(), [handler = std::move(pending.handler), kind] {
      handler(tl::make_unexpected(ErrorOf(kind, "the link pool was closed")));
    });
  }
}

void Link::CancelAll() {
  for (const auto& [call_id, pending] : this->calls) {
    if (pending.phase == PendingCall::Phase::kWaiting) continue;
    const auto removal = this->connection->Remove(call_id);
    if (removal != FrameQueue::Removal::kNotStarted) this->PushCancel(call_id);
  }
  this->connection->FlushAll();
}

void Link::Drop() {
  this->calls.clear();
  this->Close();
}

void Link::Queue(const Id128& call_id, PendingCall& pending) {
  OutgoingMessage message;
  message.call_id = call_id;
  message.call = std::move(pending.call);
  this->SetExpiry(pending.sent_at, *message.call);
  message.queued_at = pending.sent_at;
  pending.phase = PendingCall::Phase::kQueued;
  this->connection->Push(std::move(message));
}

void Link::SetExpiry(SteadyTime queued_at, Call& call) const {
  const auto remote_now = this->remote_clock.At(BootClock::now());
  if (!remote_now) return;
  const Duration left = call.deadline - SteadyClock::now();
  call.head.set_expires_boot_us(EncodeBootTime(*remote_now + left));
  // In full: the remote node takes off what the call spends on its way.
  call.head.set_deadline_us(EncodeMicroseconds(call.deadline - queued_at));
}

void Link::OnHandedOver(const Id128& call_id) {
  const auto call = this->calls.find(call_id);
  if (call != this->calls.end()) call->second.phase = PendingCall::Phase::kHandedOver;
}

void Link::OnDeadline(const Id128& call_id) {
  const auto call = this->calls.find(call_id);
  if (call == this->calls.end()) return;
  const auto phase = call->second.phase;
  if (phase == PendingCall::Phase::kWaiting) {
    return this->FinishError(call, LinkErrorKind::kNotSent, "deadline passed before sending");
  }
  const bool open = this->state == State::kOpen;
  const auto removal = open ? this->connection->Remove(call_id) : FrameQueue::Removal::kNotFound;
  if (removal == FrameQueue::Removal::kStarted) this->PushCancel(call_id);
  if (removal != FrameQueue::Removal::kNotFound) {
    return this->FinishError(call, LinkErrorKind::kNotSent, "deadline passed while sending");
  }
  // The call may still wait on its way. A cancel also acknowledges an answer that is on its own.
  if (open) this->PushCancel(call_id);
  this->FinishError(call, LinkErrorKind::kUnknown, "deadline passed");
}

void Link::OnFrame(pb::Frame& frame) {
  if (this->state == State::kHandshaking) {
    if (frame.has_hello()) return this->OnHello(frame.hello());
    return this->OnConnectionLost("the first frame is not a Hello");
  }
  switch (frame.body_case()) {
    case pb::Frame::kAnswerHead:
      return this->OnAnswerHead(*frame.mutable_answer_head());
    case pb::Frame::kAnswerChunk:
      return this->OnAnswerChunk(*frame.mutable_answer_chunk());
    case pb::Frame::kStateReport:
      return this->OnStateReport(frame.state_report());
    case pb::Frame::kHeartbeatReply:
      return this->OnHeartbeatReply(frame.heartbeat_reply());
    default:
      return this->OnConnectionLost("unexpected frame");
  }
}

void Link::OnAnswerHead(pb::AnswerHead& head) {
  const auto call_id = Id128::FromBytes(head.call_id());
  if (!call_id) return this->OnConnectionLost("the call id is not 16 bytes long");
  const auto call = this->calls.find(*call_id);
  if (call == this->calls.end()) {
    ++this->counters->late_answers_dropped;
    return this->Acknowledge(*call_id);
  }
  PendingCall& pending = call->second;
  pending.answer = std::make_unique<Answer>();
  pending.answer->head.Swap(&head);
  const pb::AnswerHead& answer_head = pending.answer->head;
  if (answer_head.body_length() > this->options.max_body_bytes) {
    this->Acknowledge(*call_id);
    return this->FinishError(call, LinkErrorKind::kUnknown, "the answer's body is too long");
  }
  const auto& held_bytes = this->options.held_bytes;
  const std::size_t bytes = HeldBytesOf(answer_head) + answer_head.body_length();
  if (held_bytes && !held_bytes->HasRoomFor(policy::MessageKind::kAnswer, bytes)) {
    this->Acknowledge(*call_id);
    return this->FinishError(call, LinkErrorKind::kUnknown, "no room for the answer");
  }
  pending.held = policy::HeldBytesShare(held_bytes, policy::MessageKind::kAnswer);
  pending.held.Set(bytes);
  pending.assembly = BodyAssembly(answer_head.body_length(), answer_head.body_crc32());
  if (answer_head.body_length() > 0) return;
  this->Acknowledge(*call_id);
  this->Finish(call, std::move(*pending.answer));
}

void Link::OnAnswerChunk(pb::BodyChunk& chunk) {
  const auto call_id = Id128::FromBytes(chunk.call_id());
  if (!call_id) return this->OnConnectionLost("the call id is not 16 bytes long");
  const auto call = this->calls.find(*call_id);
  if (call == this->calls.end() || !call->second.answer) return;
  PendingCall& pending = call->second;
  const auto body_state = pending.assembly.Add(std::move(*chunk.mutable_data()));
  if (body_state == BodyAssembly::State::kIncomplete) return;
  this->Acknowledge(*call_id);
  if (body_state == BodyAssembly::State::kDamaged) {
    return this->FinishError(call, LinkErrorKind::kUnknown,
                             "the answer's body has a wrong length or checksum");
  }
  pending.answer->body = pending.assembly.TakeBody();
  this->Finish(call, std::move(*pending.answer));
}

void Link::OnStateReport(const pb::StateReport& report) {
  const auto call_id = Id128::FromBytes(report.call_id());
  if (!call_id) return this->OnConnectionLost("the call id is not 16 bytes long");
  const auto call = this->calls.find(*call_id);
  if (call == this->calls.end()) return;
  switch (report.state()) {
    case pb::CALL_STATE_NEVER_ARRIVED:
      return this->FinishError(call, LinkErrorKind::kNeverArrived,
                               "the call never arrived at the remote node");
    case pb::CALL_STATE_IN_PROGRESS:
    case pb::CALL_STATE_ANSWERED:
      return;
    default:
      return this->FinishError(call, LinkErrorKind::kUnknown,
                               "the remote node no longer has the state of the call");
  }
}

void Link::OnHeartbeatReply(const pb::Heartbeat& heartbeat) {
  constexpr int kOldWeight = 7;
  constexpr int kTotalWeight = 8;
  const auto sent_at = SteadyTime(std::chrono::microseconds(heartbeat.sent_us()));
  this->cancels.Confirm(sent_at);
  const auto sent_boot = DecodeBootTime(heartbeat.sent_boot_us());
  const auto replied_boot = DecodeBootTime(heartbeat.replied_boot_us());
  if (sent_boot && replied_boot) {
    this->remote_clock.Add(*sent_boot, *replied_boot, BootClock::now());
  }
  const Duration sample = std::max(SteadyClock::now() - sent_at, Duration::zero());
  if (this->round_trip == Duration::zero()) {
    this->round_trip = sample;
  } else {
    this->round_trip = (this->round_trip * kOldWeight + sample) / kTotalWeight;
  }
}

void Link::PushHeartbeat() {
  const auto now = SteadyClock::now().time_since_epoch();
  pb::Heartbeat heartbeat;
  heartbeat.set_sent_us(static_cast<std::uint64_t>(ToMicroseconds(now).count()));
  heartbeat.set_sent_boot_us(EncodeBootTime(BootClock::now()));
  this->connection->PushFrame(pb::Frame::kHeartbeatFieldNumber, heartbeat);
  this->last_heartbeat = SteadyClock::now();
}

/// A heartbeat is unnecessary while other frames arrive, except to measure the round trip.
bool Link::HeartbeatDue(SteadyTime now) const {
  const bool received_recently = now - this->LastReceived() < this->options.heartbeat_period / 2;
  return !received_recently || now - this->last_heartbeat >= this->options.max_heartbeat_interval;
}

void Link::PushQuery(const Id128& call_id) {
  pb::StateQuery query;
  query.set_call_id(call_id.ToBytes());
  this->connection->PushFrame(pb::Frame::kStateQueryFieldNumber, query);
}

void Link::PushCancel(const Id128& call_id) {
  pb::Cancel cancel;
  cancel.set_call_id(call_id.ToBytes());
  this->connection->PushUrgent(pb::Frame::kCancelFieldNumber, cancel);
  ++this->counters->cancels;
  this->connection->Flush();
}

void Link::SendCancelsAgain() {
  for (const Id128& call_id : this->cancels.SendAgain(SteadyClock::now())) {
    ++this->counters->cancels_repeated;
    this->PushCancel(call_id);
  }
}

/// The acknowledgement is sent with the next call, or by the next tick, to save a separate write.
void Link::Acknowledge(const Id128& call_id) {
  if (this->state != State::kOpen) return;
  pb::AnswerAck ack;
  ack.set_call_id(call_id.ToBytes());
  this->connection->PushDeferred(pb::Frame::kAnswerAckFieldNumber, ack);
  if (!this->tick_running) this->StartTicking();
}

void Link::StartTicking() {
  this->tick_running = true;
  this->last_tick = SteadyClock::now();
  this->ArmTick();
}

/// Aligns the ticks of all links of the node, so that they share one wake-up.
void Link::ArmTick() {
  const Duration delay = this->timers.UntilNextSlot(this->options.heartbeat_period);
  this->tick_timer = this->timers.After(delay, [this] {
    const auto self = this->shared_from_this();
    this->ArmTick();
    this->Tick();
  });
}

void Link::Tick() {
  const auto now = SteadyClock::now();
  const Duration since_tick = now - std::exchange(this->last_tick, now);
  this->cancels.DropExpired(now);
  if (!this->NeedsConnection()) return this->StopTicking();
  // After a pause of this process, data that arrived meanwhile has not been read yet; the pause
  // must not count as silence of the remote node.
  if (since_tick > this->options.heartbeat_period * 2) this->pending_since = now;
  const Duration silence = now - std::max(this->LastReceived(), this->pending_since);
  if (this->state != State::kOpen) {
    if (silence >= this->options.give_up_timeout) this->GiveUpSentCalls();
    return;
  }
  if (silence >= this->options.silence_timeout) {
    ++this->counters->links_replaced;
    return this->OnConnectionLost("nothing received within the silence timeout");
  }
  if (this->HeartbeatDue(now)) this->PushHeartbeat();
  this->connection->FlushAll();
}

/// Stops the ticks of an idle link; a single timer remains, which closes it at the idle timeout.
void Link::StopTicking() {
  this->tick_running = false;
  this->tick_timer.Reset();
  if (this->state != State::kOpen) return;
  this->connection->FlushAll();
  const SteadyTime idle_end = this->last_used + this->options.idle_timeout;
  const Duration left = std::max(idle_end - SteadyClock::now(), Duration::zero());
  this->tick_timer = this->timers.After(left, [this] { this->CloseIdle(); });
}

void Link::CloseIdle() {
  const auto self = this->shared_from_this();
  if (this->state != State::kOpen) return;
  this->connection->FlushAll();
  this->CloseConnection();
  this->state = State::kClosed;
}

SteadyTime Link::LastReceived() const {
  return this->connection ? std::max(this->connection->LastReceived(), this->last_received)
                          : this->last_received;
}

void Link::Finish(Calls::iterator call, Result result) {
  const auto handler = std::move(call->second.handler);
  this->calls.erase(call);
  handler(std::move(result));
}

void Link::FinishError(Calls::iterator call, LinkErrorKind kind, std::string message) {
  this->Finish(call, tl::make_unexpected(ErrorOf(kind, std::move(message))));
}

/// A call that must run at most once cannot be repeated elsewhere, so its answer is waited for
/// until its deadline, as long as the node that runs it may only be silent.
void Link::GiveUpSentCalls() {
  const bool may_answer = !this->node_ended;
  this->FinishAll(
      LinkErrorKind::kUnknown, "the remote node is unreachable",
      [may_answer](const PendingCall& call) { return call.at_most_once && may_answer; });
}

void Link::FinishAll(LinkErrorKind kind, const std::string& message, const CallFilter& keeps) {
  const bool ends_sent_calls = kind == LinkErrorKind::kUnknown;
  std::vector<LinkPool::AnswerHandler> handlers;
  for (auto call = this->calls.begin(); call != this->calls.end();) {
    const bool sent = call->second.phase == PendingCall::Phase::kHandedOver;
    if (sent != ends_sent_calls || (keeps && keeps(call->second))) {
      ++call;
      continue;
    }
    if (ends_sent_calls) this->cancels.Add(call->first, call->second.deadline, SteadyClock::now());
    handlers.push_back(std::move(call->second.handler));
    call = this->calls.erase(call);
  }
  for (const auto& handler : handlers) handler(tl::make_unexpected(ErrorOf(kind, message)));
}

}  // namespace fireflyrun::peer
