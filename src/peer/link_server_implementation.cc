#include "peer/link_server_implementation.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>

#include "peer/boot_time_codec.h"
#include "peer/checksum.h"
#include "peer/frame_codec.h"
#include "peer/held_bytes_of.h"
#include "peer/peer.pb.h"

namespace fireflyrun::peer {
namespace {

constexpr std::size_t kMaxSeenIds = std::size_t{1} << 18;
constexpr Duration kSweepPeriod = std::chrono::seconds(1);
/// A sweep that is later than this shows that the process has paused, and read nothing meanwhile.
constexpr Duration kMaxSweepDelay = kSweepPeriod * 3 / 2;
/// Delay after a failed accept(), for example for lack of file descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);
/// How long a caller's newest link number is kept after its last Hello; longer than any connection
/// accepted before it.
constexpr Duration kCallerRetention = std::chrono::minutes(10);
/// Limit of the announced bytes of partially received bodies per connection, in units of
/// max_body_bytes.
constexpr std::size_t kMaxPartialBodies = 8;

constexpr std::string_view kBodyDamaged = "body-damaged";
constexpr std::string_view kBodyTooLarge = "body-too-large";
constexpr std::string_view kAnswerTooLarge = "answer-too-large";

/// Returns the answer sent in place of one over a size limit.
Answer MakeTooLargeAnswer(const pb::AnswerHead& head) {
  const bool answered = head.outcome() == pb::OUTCOME_ANSWERED;
  Answer answer;
  answer.head.set_outcome(answered ? pb::OUTCOME_RAN : head.outcome());
  answer.head.set_reason(std::string(kAnswerTooLarge));
  answer.head.set_unused_retries(head.unused_retries());
  return answer;
}

/// The time left when the call was written starts anew here, unless the caller knew this node's
/// clock: then what the call spent on its way counts too.
SteadyTime DeadlineOf(const pb::CallHead& head) {
  Duration left = std::chrono::microseconds(head.deadline_us());
  const auto expires = DecodeBootTime(head.expires_boot_us());
  if (expires) left = std::min<Duration>(left, *expires - BootClock::now());
  return SteadyClock::now() + left;
}

}  // namespace

LinkServer::Implementation::Implementation(TimerService& timer_service, LinkOptions link_options,
                                           CallHook call_hook, CancelHook cancel_hook)
    : timers(timer_service),
      options(std::move(link_options)),
      on_call(std::move(call_hook)),
      on_cancel(std::move(cancel_hook)),
      acceptor(timer_service.Loop()),
      calls(this->options.retained_answer_bytes, kMaxSeenIds) {}

tl::expected<void, std::string> LinkServer::Implementation::Start() {
  asio::error_code error;
  const auto address = asio::ip::make_address(this->options.ip, error);
  if (error) return tl::make_unexpected(this->options.ip + ": " + error.message());
  const asio::ip::tcp::endpoint endpoint(address, this->options.port);
  this->acceptor.open(endpoint.protocol(), error);
  if (!error) this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  if (!error) this->acceptor.bind(endpoint, error);
  if (!error) this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return tl::make_unexpected("can't listen for peers: " + error.message());
  this->port = this->acceptor.local_endpoint().port();
  this->running_since = SteadyClock::now();
  this->last_sweep = this->running_since;
  this->sweep_timer = this->timers.Every(kSweepPeriod, [this] { this->Sweep(); });
  this->Accept();
  return {};
}

void LinkServer::Implementation::Close() {
  this->closed = true;
  asio::error_code ignored;
  this->acceptor.close(ignored);
  this->sweep_timer.Reset();
  this->accept_timer.Reset();
  for (const Link& link : this->links) {
    link->hello_timer.Reset();
    link->connection->Close();
  }
  this->links.clear();
}

void LinkServer::Implementation::Accept() {
  this->acceptor.async_accept(
      [weak = this->weak_from_this()](const asio::error_code& error, asio::ip::tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || self->closed) return;
        if (!error) {
          self->Open(std::move(socket));
          return self->Accept();
        }
        self->accept_timer =
            self->timers.After(kAcceptRetryDelay, [raw = self.get()] { raw->Accept(); });
      });
}

void LinkServer::Implementation::Open(asio::ip::tcp::socket socket) {
  auto link = std::make_shared<InboundLink>();
  link->connection = std::make_shared<Connection>(std::move(socket), this->options, this->counters);
  this->links.insert(link);
  const auto weak = this->weak_from_this();
  const std::weak_ptr<InboundLink> weak_link = link;
  link->connection->Start({
      .on_frame =
          [weak, weak_link](pb::Frame& frame) {
            const auto self = weak.lock();
            const auto target = weak_link.lock();
            if (self && target) self->OnFrame(target, frame);
          },
      .on_call_handed_over = nullptr,
      .on_closed =
          [weak, weak_link](const std::string&) {
            const auto self = weak.lock();
            const auto target = weak_link.lock();
            if (self && target) self->CloseLink(target);
          },
  });
  link->hello_timer = this->timers.After(this->options.connect_timeout, [this, weak_link] {
    const auto target = weak_link.lock();
    if (target && !target->caller) this->CloseLink(target);
  });
}

void LinkServer::Implementation::CloseLink(Link link) {
  link->hello_timer.Reset();
  if (link->caller) link->caller->lost_at = SteadyClock::now();
  link->connection->Close();
  link->partial_calls.clear();
  this->links.erase(link);
}

void LinkServer::Implementation::Sweep() {
  const auto now = SteadyClock::now();
  if (now - std::exchange(this->last_sweep, now) > kMaxSweepDelay) this->running_since = now;
  this->calls.DropExpired(now);
  this->CancelOrphanedCalls(now);
  std::vector<Link> silent;
  for (const Link& link : this->links) {
    const Duration silence = now - link->connection->LastReceived();
    if (link->caller && silence > this->options.idle_timeout * 2) silent.push_back(link);
  }
  for (const Link& link : silent) this->CloseLink(link);
  std::erase_if(this->callers, [&](const auto& entry) {
    const InboundCaller& caller = *entry.second;
    return caller.connection.expired() && now - caller.last_hello > kCallerRetention;
  });
}

void LinkServer::Implementation::CancelOrphanedCalls(SteadyTime now) {
  this->CancelAll(this->calls.MarkOrphans(
      [&](const InboundCaller& caller) { return this->HasGivenUp(caller, now); }));
}

bool LinkServer::Implementation::HasGivenUp(const InboundCaller& caller, SteadyTime now) const {
  const Duration give_up = this->options.give_up_timeout;
  const auto connection = caller.connection.lock();
  const bool connected = connection && connection->IsOpen();
  if (!connected && now - std::max(caller.lost_at, this->running_since) >= give_up) return true;
  const Duration silence = now - std::max(caller.last_heard, this->running_since);
  return silence >= give_up + this->options.max_heartbeat_interval;
}

void LinkServer::Implementation::CancelAll(const std::vector<Id128>& orphans) {
  for (const Id128& call_id : orphans) {
    ++this->counters->calls_orphaned;
    this->CancelOpenCall(call_id);
    // The cancel may have ended the call; nobody asks for that answer.
    this->calls.DropAnswer(call_id, SteadyClock::now());
  }
}

void LinkServer::Implementation::CancelOpenCall(const Id128& call_id) {
  const bool waits = std::erase_if(this->arrivals, [&](const Arrival& arrival) {
                       return arrival.call_id == call_id;
                     }) > 0;
  if (waits) return this->calls.EndUnanswered(call_id, SteadyClock::now());
  if (this->on_cancel) this->on_cancel(call_id);
}

void LinkServer::Implementation::EndEarlierIncarnations(const pb::Hello& hello) {
  const auto begin = this->callers.lower_bound(CallerKey(hello.node(), 0));
  const auto end = this->callers.lower_bound(CallerKey(hello.node(), hello.incarnation()));
  for (auto earlier = begin; earlier != end; ++earlier) {
    const InboundCaller* const ended = earlier->second.get();
    this->CancelAll(
        this->calls.MarkOrphans([ended](const InboundCaller& caller) { return &caller == ended; }));
    this->calls.DropAnswersOf(*ended, SteadyClock::now());
  }
}

void LinkServer::Implementation::OnFrame(const Link& link, pb::Frame& frame) {
  if (frame.has_hello()) return this->OnHello(link, frame.hello());
  if (!link->caller) return this->CloseLink(link);
  // A Hello doesn't count: its sender may hear nothing of this node, and then opens link after
  // link.
  link->caller->last_heard = link->connection->LastReceived();
  switch (frame.body_case()) {
    case pb::Frame::kCallHead:
      return this->OnCallHead(link, *frame.mutable_call_head());
    case pb::Frame::kCallChunk:
      return this->OnCallChunk(link, *frame.mutable_call_chunk());
    case pb::Frame::kCancel:
      return this->OnCancel(link, frame.cancel());
    case pb::Frame::kAnswerAck:
      return this->OnAnswerAck(frame.answer_ack());
    case pb::Frame::kStateQuery:
      return this->OnStateQuery(link, frame.state_query());
    case pb::Frame::kHeartbeat:
      return this->OnHeartbeat(link, *frame.mutable_heartbeat());
    default:
      return this->CloseLink(link);
  }
}

void LinkServer::Implementation::OnHello(const Link& link, const pb::Hello& hello) {
  if (link->caller || hello.cluster() != this->options.cluster || hello.node().empty()) {
    return this->CloseLink(link);
  }
  auto& caller = this->callers[CallerKey(hello.node(), hello.incarnation())];
  if (!caller) caller = std::make_shared<InboundCaller>();
  if (hello.link_number() <= caller->newest_link) return this->CloseLink(link);
  std::vector<Link> superseded;
  for (const Link& other : this->links) {
    if (other->caller == caller) superseded.push_back(other);
  }
  for (const Link& other : superseded) this->CloseLink(other);
  this->counters->links_replaced += superseded.size();
  link->hello_timer.Reset();
  link->caller = caller;
  link->number = hello.link_number();
  caller->newest_link = hello.link_number();
  caller->connection = link->connection;
  caller->last_hello = SteadyClock::now();
  this->EndEarlierIncarnations(hello);
  // Sent only after the caller's Hello, so that the caller considers the link open only if both
  // directions work.
  pb::Hello reply;
  reply.set_cluster(this->options.cluster);
  reply.set_node(this->options.node);
  reply.set_incarnation(this->options.incarnation);
  reply.set_boot_us(EncodeBootTime(BootClock::now()));
  link->connection->PushFrame(pb::Frame::kHelloFieldNumber, reply);
}

void LinkServer::Implementation::OnHeartbeat(const Link& link, pb::Heartbeat& heartbeat) {
  heartbeat.set_replied_boot_us(EncodeBootTime(BootClock::now()));
  link->connection->PushFrame(pb::Frame::kHeartbeatReplyFieldNumber, heartbeat);
}

Duration LinkServer::Implementation::TakeTransitTime(const pb::CallHead& head) {
  const auto expires = DecodeBootTime(head.expires_boot_us());
  if (!expires) return {};
  const Duration left = *expires - BootClock::now();
  const Duration transit_time =
      std::max<Duration>(std::chrono::microseconds(head.deadline_us()) - left, Duration::zero());
  this->counters->transit_time += transit_time;
  ++this->counters->calls_timed;
  if (left <= Duration::zero()) ++this->counters->calls_expired;
  return transit_time;
}

void LinkServer::Implementation::OnCallHead(const Link& link, pb::CallHead& head) {
  const auto call_id = Id128::FromBytes(head.call_id());
  if (!call_id || link->partial_calls.contains(*call_id)) return this->CloseLink(link);
  const Duration transit_time = this->TakeTransitTime(head);
  const SteadyTime deadline = DeadlineOf(head);
  const std::uint64_t length = head.body_length();
  const std::size_t partial_limit = this->options.max_body_bytes * kMaxPartialBodies;
  if (length > this->options.max_body_bytes || link->partial_bytes + length > partial_limit) {
    return this->Refuse(link, *call_id, kBodyTooLarge);
  }
  const auto& held_bytes = this->options.held_bytes;
  const std::size_t bytes = HeldBytesOf(head) + length;
  const bool no_room = held_bytes && !held_bytes->HasRoomFor(policy::MessageKind::kRequest, bytes);
  if (length == 0 || no_room) {
    Call call;
    call.head.Swap(&head);
    call.deadline = deadline;
    call.transit_time = transit_time;
    call.body_dropped = no_room;
    return this->Run(link, *call_id, std::move(call));
  }
  InboundLink::PartialCall partial;
  partial.held = policy::HeldBytesShare(held_bytes, policy::MessageKind::kRequest);
  partial.held.Set(bytes);
  partial.call.head.Swap(&head);
  partial.call.deadline = deadline;
  partial.call.transit_time = transit_time;
  partial.assembly = BodyAssembly(length, partial.call.head.body_crc32());
  partial.body_length = length;
  link->partial_bytes += length;
  link->partial_calls.emplace(*call_id, std::move(partial));
}

void LinkServer::Implementation::OnCallChunk(const Link& link, pb::BodyChunk& chunk) {
  const auto call_id = Id128::FromBytes(chunk.call_id());
  if (!call_id) return this->CloseLink(link);
  const auto found = link->partial_calls.find(*call_id);
  if (found == link->partial_calls.end()) return;
  InboundLink::PartialCall& partial = found->second;
  const auto state = partial.assembly.Add(std::move(*chunk.mutable_data()));
  if (state == BodyAssembly::State::kIncomplete) return;
  Call call = std::move(partial.call);
  call.body = partial.assembly.TakeBody();
  this->DropPartial(link, *call_id);
  if (state == BodyAssembly::State::kDamaged) return this->Refuse(link, *call_id, kBodyDamaged);
  this->Run(link, *call_id, std::move(call));
}

void LinkServer::Implementation::DropPartial(const Link& link, const Id128& call_id) {
  const auto found = link->partial_calls.find(call_id);
  if (found == link->partial_calls.end()) return;
  link->partial_bytes -= found->second.body_length;
  link->partial_calls.erase(found);
}

void LinkServer::Implementation::OnCancel(const Link& link, const pb::Cancel& cancel) {
  const auto call_id = Id128::FromBytes(cancel.call_id());
  if (!call_id) return this->CloseLink(link);
  this->DropPartial(link, *call_id);
  ++this->counters->cancels;
  const bool open = this->calls.IsOpen(*call_id);
  this->calls.Acknowledge(*call_id, SteadyClock::now());
  if (open) this->CancelOpenCall(*call_id);
}

void LinkServer::Implementation::OnAnswerAck(const pb::AnswerAck& ack) {
  const auto call_id = Id128::FromBytes(ack.call_id());
  if (call_id) this->calls.Acknowledge(*call_id, SteadyClock::now());
}

void LinkServer::Implementation::OnStateQuery(const Link& link, const pb::StateQuery& query) {
  const auto call_id = Id128::FromBytes(query.call_id());
  if (!call_id) return this->CloseLink(link);
  this->DropPartial(link, *call_id);
  auto result = this->calls.Query(*call_id, link->number, SteadyClock::now());
  if (result.state == pb::CALL_STATE_NEVER_ARRIVED) ++this->counters->voided_ids;
  pb::StateReport report;
  report.set_call_id(query.call_id());
  report.set_state(result.state);
  link->connection->PushFrame(pb::Frame::kStateReportFieldNumber, report);
  if (!result.answer) return;
  OutgoingMessage message;
  message.call_id = *call_id;
  message.answer = std::move(result.answer);
  link->connection->Push(std::move(message));
}

void LinkServer::Implementation::Run(const Link& link, const Id128& call_id, Call call) {
  if (!this->calls.Begin(call_id, link->caller, call.deadline, SteadyClock::now())) {
    ++this->counters->calls_dropped;
    return;
  }
  ++this->counters->calls;
  this->arrivals.push_back({call_id, std::move(call)});
  if (this->arrivals.size() > 1) return;
  asio::post(this->timers.Loop(), [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) self->DeliverArrivals();
  });
}

void LinkServer::Implementation::DeliverArrivals() {
  if (this->closed) return;
  this->delivering = true;
  for (Arrival& arrival : std::exchange(this->arrivals, {})) {
    const Id128 call_id = arrival.call_id;
    this->on_call(std::move(arrival.call), [weak = this->weak_from_this(), call_id](Answer answer) {
      if (const auto self = weak.lock()) self->Finish(call_id, std::move(answer));
    });
  }
  this->delivering = false;
  for (const auto& connection : std::exchange(this->unflushed, {})) connection->Flush();
}

void LinkServer::Implementation::Refuse(const Link& link, const Id128& call_id,
                                        std::string_view reason) {
  const auto now = SteadyClock::now();
  ++this->counters->calls_dropped;
  if (!this->calls.Begin(call_id, link->caller, now, now)) return;
  Answer answer;
  answer.head.set_outcome(pb::OUTCOME_NOT_RUN);
  answer.head.set_reason(std::string(reason));
  this->Finish(call_id, std::move(answer));
}

void LinkServer::Implementation::Finish(const Id128& call_id, Answer answer) {
  if (this->closed) return;
  const bool head_fits = answer.head.ByteSizeLong() <= kMaxHeadBytes;
  const bool body_fits = answer.body.size() <= this->options.max_body_bytes;
  if (!head_fits || !body_fits || !this->HasRoomFor(answer)) {
    answer = MakeTooLargeAnswer(answer.head);
  }
  answer.held = this->CountAnswer(answer);
  answer.head.set_call_id(call_id.ToBytes());
  answer.head.set_body_length(answer.body.size());
  answer.head.set_body_crc32(Checksum(answer.body));
  auto result = this->calls.Finish(call_id, std::move(answer), SteadyClock::now());
  if (!result.answer) return;
  const auto connection = result.caller->connection.lock();
  if (!connection || !connection->IsOpen()) return;
  OutgoingMessage message;
  message.call_id = call_id;
  message.answer = std::move(result.answer);
  connection->Push(std::move(message));
  this->Flush(connection);
}

/// Without room the answer is given up: a slow link would let whole answers pile up here.
bool LinkServer::Implementation::HasRoomFor(const Answer& answer) const {
  const auto& held_bytes = this->options.held_bytes;
  return !held_bytes || held_bytes->HasRoomFor(policy::MessageKind::kAnswer, HeldBytesOf(answer));
}

std::shared_ptr<const policy::HeldBytesShare> LinkServer::Implementation::CountAnswer(
    const Answer& answer) const {
  auto share = std::make_shared<policy::HeldBytesShare>(this->options.held_bytes,
                                                        policy::MessageKind::kAnswer);
  share->Set(HeldBytesOf(answer));
  return share;
}

/// Answers that are given while calls are passed on are written together after it.
void LinkServer::Implementation::Flush(const std::shared_ptr<Connection>& connection) {
  if (this->delivering) {
    this->unflushed.insert(connection);
  } else {
    connection->Flush();
  }
}

}  // namespace fireflyrun::peer
