#include "node/target_service.h"

#include <algorithm>
#include <utility>

#include "common/post_after_poll.h"
#include "common/timer_service.h"
#include "http/headers.h"
#include "http/status.h"
#include "node/answer_codec.h"
#include "node/call_context.h"
#include "node/call_context_factory.h"
#include "node/context_table.h"
#include "node/request_log.h"
#include "node/target_limits.h"
#include "node/target_request.h"
#include "node/ticket_codec.h"
#include "peer/held_bytes_of.h"
#include "policy/admission_request.h"
#include "records/service_policy.h"

namespace fireflyrun::node {
namespace {

using peer::pb::Outcome;
using policy::ClaimState;
using policy::RefusalReason;

constexpr int kServiceUnavailableStatus = 503;
constexpr int kMisdirectedStatus = 421;
/// A call that was on its way for longer is refused: its caller may have left since, and the cancel
/// is on its way as long.
constexpr Duration kMaxTransitTime = std::chrono::milliseconds(500);
constexpr std::uint32_t kRememberedWindows = 12;
constexpr std::size_t kTicketsPerWindow = 16'000;
constexpr std::size_t kRetainedAnswerBytes = std::size_t{2} << 20;

policy::TicketLedgerLimits LedgerLimits() {
  policy::TicketLedgerLimits limits;
  limits.remembered_windows = kRememberedWindows;
  limits.entries_per_window = kTicketsPerWindow;
  limits.answer_bytes = kRetainedAnswerBytes;
  return limits;
}

peer::Answer RefusalAnswer(Outcome outcome, RefusalReason reason) {
  peer::Answer answer;
  answer.head.set_outcome(outcome);
  answer.head.set_reason(std::string(policy::kRefusalReasonNames.NameOf(reason)));
  return answer;
}

}  // namespace

TargetService::TargetService(TimerService& timer_service, http::TargetClient& http_client,
                             ContextTable& context_table, Options service_options,
                             Hooks service_hooks)
    : timers(timer_service),
      client(http_client),
      contexts(context_table),
      options(std::move(service_options)),
      hooks(std::move(service_hooks)),
      ledger(this->options.node, this->options.incarnation, LedgerLimits(), SteadyClock::now()),
      admission(this->options.admission,
                {[this](const Id128& id) {
                   if (id == this->offered) return this->StartCall(id);
                   this->StartQueuedCall(id);
                 },
                 [this](const Id128& id, RefusalReason reason) {
                   if (const auto inbound = this->Find(id)) this->Refuse(inbound, reason);
                 }},
                SteadyClock::now()) {}

void TargetService::TickWhenDue() {
  const Duration delay = this->admission.NextTick();
  if (delay == Duration::zero() || (this->tick_due && delay >= this->tick_delay)) return;
  this->tick_due = true;
  this->tick_delay = delay;
  this->tick_timer = this->timers.After(this->timers.UntilNextSlot(delay), [this] {
    this->tick_due = false;
    this->admission.Tick(SteadyClock::now());
    this->admission_log.LogIfChanged(this->admission);
    this->TickWhenDue();
  });
}

TargetService::~TargetService() {
  for (const auto& [id, inbound] : this->calls) this->client.Cancel(inbound->request);
}

void TargetService::SetTarget(TargetAddress address) {
  this->target = std::move(address);
  this->ApplyLimits();
}

void TargetService::OnConfiguration() {
  if (this->target) this->ApplyLimits();
}

void TargetService::ApplyLimits() {
  const auto* policy =
      this->hooks.service_policy ? this->hooks.service_policy(this->target->service) : nullptr;
  const bool limited = policy != nullptr && policy->max_connections.has_value();
  const std::size_t connections = limited ? static_cast<std::size_t>(*policy->max_connections)
                                          : http::TargetClientOptions().max_connections;
  this->client.SetMaxConnections(connections);
  const std::uint32_t slots =
      limited ? std::min(this->target->slots, MaxCalls(*policy)) : this->target->slots;
  this->admission.SetSlots(slots, WarmUpOf(*this->target), SteadyClock::now());
}

void TargetService::WithdrawTarget() {
  this->target.reset();
  this->admission.SetSlots(0, SteadyClock::now());
}

void TargetService::SetLeaving(bool is_leaving) {
  this->leaving = is_leaving;
  this->admission.SetLeaving(is_leaving);
}

std::uint32_t TargetService::TicketWindow() {
  return this->ledger.CurrentWindow(SteadyClock::now());
}

policy::Ticket TargetService::IssueOwnTicket() { return this->ledger.IssueOwn(SteadyClock::now()); }

std::size_t TargetService::OpenCallsOf(const std::string& address) const {
  const bool is_current = this->target && this->target->address == address;
  const auto belongs = [&](const auto& entry) {
    const InboundCall& inbound = *entry.second;
    return inbound.context ? inbound.target_address == address : is_current;
  };
  return static_cast<std::size_t>(std::count_if(this->calls.begin(), this->calls.end(), belongs));
}

TargetService::CallPointer TargetService::Find(const Id128& id) const {
  const auto found = this->calls.find(id);
  return found == this->calls.end() ? nullptr : found->second;
}

void TargetService::OnCall(peer::Call call, Reply reply) {
  auto inbound = std::make_shared<InboundCall>();
  inbound->id = Id128::FromBytes(call.head.call_id()).value_or(Id128::Random());
  inbound->arrived = SteadyClock::now();
  inbound->deadline = call.deadline;
  inbound->call = std::move(call);
  inbound->held = policy::HeldBytesShare(this->options.held_bytes, policy::MessageKind::kRequest);
  inbound->held.Set(peer::HeldBytesOf(inbound->call));
  inbound->reply = std::move(reply);
  this->calls[inbound->id] = inbound;
  const auto& head = inbound->call.head;
  if (head.at_most_once()) {
    inbound->ticket = FromMessage(head.ticket());
    if (!inbound->ticket) {
      this->Refuse(inbound, RefusalReason::kBadRequest);
      return;
    }
    if (!this->ClaimTicket(inbound)) return;
  }
  this->Offer(inbound);
}

bool TargetService::ClaimTicket(const CallPointer& inbound) {
  const auto& head = inbound->call.head;
  const auto proposed = head.has_successor() ? FromMessage(head.successor()) : std::nullopt;
  const auto claim = this->ledger.Claim(*inbound->ticket, proposed, SteadyClock::now());
  switch (claim.state) {
    case ClaimState::kRun:
      this->running_tickets[inbound->ticket->nonce] = inbound->id;
      return true;
    case ClaimState::kRunning:
      this->Join(inbound);
      return false;
    case ClaimState::kAnswered: {
      auto answer = DecodeAnswer(*claim.answer);
      if (!answer) answer = RefusalAnswer(Outcome::OUTCOME_RAN, RefusalReason::kAnswerDropped);
      this->Answer(inbound, std::move(*answer));
      return false;
    }
    case ClaimState::kRanAnswerDropped:
      this->Answer(inbound, RefusalAnswer(Outcome::OUTCOME_RAN, RefusalReason::kAnswerDropped));
      return false;
    case ClaimState::kOutcomeUnknown:
      this->Answer(inbound,
                   RefusalAnswer(Outcome::OUTCOME_UNKNOWN, RefusalReason::kOutcomeUnknown));
      return false;
    case ClaimState::kForgotten:
      this->Answer(inbound,
                   RefusalAnswer(Outcome::OUTCOME_UNKNOWN, RefusalReason::kTicketForgotten));
      return false;
    case ClaimState::kWrongIncarnation:
      this->Answer(inbound,
                   RefusalAnswer(Outcome::OUTCOME_UNKNOWN, RefusalReason::kWrongIncarnation));
      return false;
    case ClaimState::kLedgerFull:
      this->Answer(inbound, RefusalAnswer(Outcome::OUTCOME_NOT_RUN, RefusalReason::kTicketLimit));
      return false;
    case ClaimState::kVoid:
      break;
  }
  auto answer = RefusalAnswer(Outcome::OUTCOME_NOT_RUN, RefusalReason::kTicketVoid);
  if (claim.successor) *answer.head.mutable_successor() = ToMessage(*claim.successor);
  this->Answer(inbound, std::move(answer));
  return false;
}

void TargetService::Join(const CallPointer& inbound) {
  this->calls.erase(inbound->id);
  const auto running = this->running_tickets.find(inbound->ticket->nonce);
  const auto first = running == this->running_tickets.end() ? nullptr : this->Find(running->second);
  if (!first) {
    auto answer = RefusalAnswer(Outcome::OUTCOME_UNKNOWN, RefusalReason::kOutcomeUnknown);
    this->ReplyTo(inbound->call.head.call_id(), inbound->reply,
                  inbound->call.head.retry_allotment(), std::move(answer));
    return;
  }
  this->joined_calls[inbound->id] = first->id;
  first->joined.push_back({inbound->call.head.call_id(), inbound->call.head.retry_allotment(),
                           std::move(inbound->reply)});
}

void TargetService::Offer(const CallPointer& inbound) {
  const RefusalReason refusal = this->ReasonToRefuse(*inbound);
  if (refusal != RefusalReason::kNone) {
    this->Refuse(inbound, refusal);
    return;
  }
  if (this->options.admit_all) {
    this->StartCall(inbound->id);
    return;
  }
  LogQueued(this->LogContext(*inbound));
  const auto& head = inbound->call.head;
  const auto root = Id128::FromBytes(head.root_id()).value_or(Id128());
  this->offered = inbound->id;
  this->admission.Offer({inbound->id, policy::KeyFor(head.class_rank(), root), inbound->deadline},
                        SteadyClock::now());
  this->offered.reset();
  this->TickWhenDue();
}

void TargetService::StartQueuedCall(const Id128& id) {
  PostAfterPoll(this->timers.Loop(), [this, id, guard = std::weak_ptr<bool>(this->alive)] {
    if (!guard.expired()) this->StartCall(id);
  });
}

RefusalReason TargetService::ReasonToRefuse(const InboundCall& inbound) const {
  const bool has_target = this->target && this->target->service == inbound.call.head.service();
  if (!has_target) return RefusalReason::kNoTarget;
  if (this->leaving && !this->options.admit_all) return RefusalReason::kLeaving;
  if (inbound.HasExpired(SteadyClock::now())) return RefusalReason::kDeadline;
  if (inbound.call.body_dropped) return RefusalReason::kOverload;
  const bool held_up = inbound.call.transit_time > kMaxTransitTime;
  return held_up ? RefusalReason::kLinkSlow : RefusalReason::kNone;
}

void TargetService::StartCall(const Id128& id) {
  const auto inbound = this->Find(id);
  if (!inbound) {
    this->admission.Abandoned(id, SteadyClock::now());
    return;
  }
  const RefusalReason refusal = this->ReasonToRefuse(*inbound);
  if (refusal != RefusalReason::kNone) {
    this->admission.Abandoned(id, SteadyClock::now());
    this->Refuse(inbound, refusal);
    return;
  }
  inbound->started = SteadyClock::now();
  if (inbound->ticket && !this->ledger.Start(*inbound->ticket, inbound->started)) {
    this->admission.Abandoned(id, inbound->started);
    this->Refuse(inbound, RefusalReason::kTicketVoid);
    return;
  }
  this->hooks.on_admitted(*inbound, inbound->started - inbound->arrived);
  LogAdmitted(this->LogContext(*inbound));
  this->SendToTarget(inbound);
}

void TargetService::SendToTarget(const CallPointer& inbound) {
  inbound->context = MakeCallContext(*inbound, this->options.wire);
  inbound->target_address = this->target->address;
  this->contexts.Add(inbound->context);
  auto request = BuildTargetRequest(inbound->call, *this->target, inbound->context->handle,
                                    inbound->deadline, this->options.wire);
  request.body = std::move(inbound->call.body);
  request.max_response_bytes = this->options.max_body_bytes;
  inbound->request = this->client.Send(
      std::move(request), [this, inbound](tl::expected<http::Response, http::ClientError> ended) {
        this->OnTargetEnded(inbound, std::move(ended));
      });
}

void TargetService::OnTargetEnded(const CallPointer& inbound,
                                  tl::expected<http::Response, http::ClientError> ended) {
  if (!this->Find(inbound->id)) return;  // Cancelled in the meantime.
  if (ended && this->ReportsNotRun(*ended)) {
    this->OnTargetRefusal(inbound);
  } else if (ended && ended->lacks_echo) {
    this->OnTargetError(inbound, {http::ClientErrorKind::kBadAnswer, "the answer lacks its echo"});
  } else if (ended) {
    this->OnTargetAnswer(inbound, std::move(*ended));
  } else {
    this->OnTargetError(inbound, ended.error());
  }
}

bool TargetService::ReportsNotRun(const http::Response& response) const {
  const WireNames& wire = this->options.wire;
  if (!wire.expected_target.empty() && response.status == kMisdirectedStatus) return true;
  return !wire.not_run.empty() && http::FindHeader(response.headers, wire.not_run).has_value();
}

void TargetService::OnTargetRefusal(const CallPointer& inbound) {
  const SteadyTime now = SteadyClock::now();
  this->admission.Finished(inbound->id, now - inbound->started, false, now);
  if (inbound->ticket && !this->ledger.WithdrawUnsent(*inbound->ticket)) {
    this->Answer(inbound, RefusalAnswer(Outcome::OUTCOME_UNKNOWN, RefusalReason::kOutcomeUnknown));
    return;
  }
  this->Refuse(inbound, RefusalReason::kTargetRefused);
}

void TargetService::OnTargetAnswer(const CallPointer& inbound, http::Response response) {
  const SteadyTime now = SteadyClock::now();
  const Duration service_time = now - inbound->started;
  const bool server_error = http::IsServerError(response.status);
  const bool child_failed = inbound->context->child_failed;
  if (!server_error) {
    this->admission.Finished(inbound->id, service_time, true, now);
  } else if (response.status == kServiceUnavailableStatus && !child_failed) {
    this->admission.Finished(inbound->id, service_time, false, now);
  } else {
    this->admission.Abandoned(inbound->id, now);
  }
  this->hooks.on_answered(*inbound, service_time);
  LogTargetAnswered(this->LogContext(*inbound), response.status, service_time);
  peer::Answer answer;
  auto& head = answer.head;
  head.set_outcome(Outcome::OUTCOME_ANSWERED);
  head.set_status(static_cast<std::uint32_t>(response.status));
  if (server_error && child_failed) {
    head.set_reason(
        std::string(policy::kRefusalReasonNames.NameOf(RefusalReason::kDownstreamFailed)));
  }
  CopyAnswerHeaders(response.headers, &head);
  head.set_service_us(static_cast<std::uint32_t>(ToMicroseconds(service_time).count()));
  answer.body = std::move(response.body);
  if (inbound->ticket) {
    this->ledger.Complete(*inbound->ticket,
                          std::make_shared<const std::string>(EncodeAnswer(answer)));
  }
  this->Answer(inbound, std::move(answer));
}

void TargetService::OnTargetError(const CallPointer& inbound, const http::ClientError& error) {
  const SteadyTime now = SteadyClock::now();
  const bool never_sent = error.kind == http::ClientErrorKind::kNotSent;
  this->admission.Finished(inbound->id, now - inbound->started, false, now);
  LogTargetFailed(this->LogContext(*inbound), error);
  if (never_sent && (!inbound->ticket || this->ledger.WithdrawUnsent(*inbound->ticket))) {
    this->Refuse(inbound, RefusalReason::kTargetFailed);
    return;
  }
  if (inbound->ticket) this->ledger.MarkOutcomeUnknown(*inbound->ticket);
  const bool timed_out = error.kind == http::ClientErrorKind::kTimedOut;
  const auto reason = timed_out ? RefusalReason::kDeadline : RefusalReason::kTargetFailed;
  this->hooks.on_refused(*inbound, reason);
  const bool too_large = error.kind == http::ClientErrorKind::kTooLarge;
  const auto outcome = too_large ? Outcome::OUTCOME_RAN : Outcome::OUTCOME_UNKNOWN;
  this->Answer(inbound, RefusalAnswer(outcome, reason));
}

void TargetService::Refuse(const CallPointer& inbound, RefusalReason reason) {
  LogTargetRefused(this->LogContext(*inbound), reason);
  this->hooks.on_refused(*inbound, reason);
  this->AnswerNotRun(inbound, reason);
}

void TargetService::AnswerNotRun(const CallPointer& inbound, RefusalReason reason) {
  auto answer = RefusalAnswer(Outcome::OUTCOME_NOT_RUN, reason);
  if (inbound->ticket) {
    // The ticket is voided before "not run" is reported, so the refusal stays true.
    const auto voided = this->ledger.Void(*inbound->ticket, SteadyClock::now());
    if (voided.state != ClaimState::kVoid) {
      answer = RefusalAnswer(Outcome::OUTCOME_UNKNOWN, RefusalReason::kOutcomeUnknown);
    }
    if (voided.successor) *answer.head.mutable_successor() = ToMessage(*voided.successor);
  }
  this->Answer(inbound, std::move(answer));
}

void TargetService::Answer(const CallPointer& inbound, peer::Answer answer) {
  this->calls.erase(inbound->id);
  if (inbound->ticket) this->running_tickets.erase(inbound->ticket->nonce);
  this->FillLoad(&answer.head, *inbound);
  const auto& context = inbound->context;
  const std::uint32_t granted_retries = inbound->call.head.retry_allotment();
  const std::uint32_t unused = context ? context->allotment->Remaining() : granted_retries;
  for (const auto& joined : inbound->joined) {
    this->joined_calls.erase(Id128::FromBytes(joined.call_id).value_or(Id128()));
    this->ReplyTo(joined.call_id, joined.reply, joined.granted_retries, answer);
  }
  const bool all_retries_spent = granted_retries > 0 && unused == 0;
  const bool failed = answer.head.outcome() != Outcome::OUTCOME_ANSWERED ||
                      http::IsServerError(static_cast<int>(answer.head.status()));
  const bool child_final = context && context->child_final;
  answer.head.set_final(failed && (all_retries_spent || child_final));
  this->ReplyTo(inbound->call.head.call_id(), inbound->reply, unused, std::move(answer));
  // Done last: child calls that the target did not wait for are not part of the answer.
  this->EndContext(inbound, RefusalReason::kParentEnded);
}

void TargetService::ReplyTo(const std::string& call_id, const Reply& reply,
                            std::uint32_t unused_retries, peer::Answer answer) {
  answer.head.set_call_id(call_id);
  answer.head.set_unused_retries(unused_retries);
  reply(std::move(answer));
}

void TargetService::FillLoad(peer::pb::AnswerHead* head, const InboundCall& inbound) {
  const SteadyTime now = SteadyClock::now();
  auto level = this->admission.Level();
  if (inbound.context) level = std::min(level, inbound.context->tightest_level);
  head->mutable_level()->set_rank(level.rank);
  head->mutable_level()->set_hash(level.hash);
  head->set_in_flight(this->admission.InFlight() +
                      static_cast<std::uint32_t>(this->admission.QueueLength()));
  head->set_limit(this->admission.Limit(now));
  head->set_retry_after_ms(
      static_cast<std::uint32_t>(ToMilliseconds(this->admission.RetryAfter()).count()));
  const bool has_started = inbound.started != SteadyTime();
  const Duration queue_time = (has_started ? inbound.started : now) - inbound.arrived;
  head->set_queue_us(static_cast<std::uint32_t>(ToMicroseconds(queue_time).count()));
}

void TargetService::EndContext(const CallPointer& inbound, RefusalReason why) {
  if (!inbound->context) return;
  if (why == RefusalReason::kParentCancelled) {
    this->contexts.RemoveCancelled(inbound->context->handle, SteadyClock::now());
  } else {
    this->contexts.Remove(inbound->context->handle);
  }
  const bool expired = SteadyClock::now() >= inbound->deadline;
  const auto callbacks = std::exchange(inbound->context->child_end_callbacks, {});
  for (const auto& [id, end] : callbacks) end(expired ? RefusalReason::kDeadline : why);
}

TargetService::CallPointer TargetService::RemoveCaller(const Id128& call_id) {
  if (auto inbound = this->Find(call_id)) {
    inbound->caller_gone = true;
    return inbound;
  }
  const auto joined = this->joined_calls.extract(call_id);
  auto inbound = joined.empty() ? nullptr : this->Find(joined.mapped());
  if (!inbound) return nullptr;
  std::erase_if(inbound->joined, [bytes = call_id.ToBytes()](const InboundCall::JoinedCall& call) {
    return call.call_id == bytes;
  });
  return inbound;
}

void TargetService::OnCancel(const Id128& call_id) {
  const auto inbound = this->RemoveCaller(call_id);
  if (!inbound || !inbound->caller_gone || !inbound->joined.empty()) return;
  const CancelStage stage = this->Drop(inbound);
  ++this->cancelled_calls[static_cast<std::size_t>(stage)];
}

CancelStage TargetService::Drop(const CallPointer& inbound) {
  const auto end = [&](CancelStage stage) {
    LogTargetCancelled(this->LogContext(*inbound), stage);
    if (stage != CancelStage::kKept) this->hooks.on_refused(*inbound, RefusalReason::kCancelled);
    return stage;
  };
  if (!inbound->context) {
    this->admission.Cancel(inbound->id);
    this->AnswerNotRun(inbound, RefusalReason::kCancelled);
    return end(CancelStage::kQueued);
  }
  const bool unsent = this->client.CancelUnsent(inbound->request);
  // The answer of an at-most-once call that may run is kept for later requests with its ticket.
  if (!unsent && inbound->ticket) return end(CancelStage::kKept);
  this->client.Cancel(inbound->request);
  this->EndContext(inbound, RefusalReason::kParentCancelled);
  if (inbound->ticket) this->ledger.WithdrawUnsent(*inbound->ticket);
  if (unsent) {
    this->AnswerNotRun(inbound, RefusalReason::kCancelled);
  } else {
    this->Answer(inbound, RefusalAnswer(Outcome::OUTCOME_UNKNOWN, RefusalReason::kCancelled));
  }
  const CancelStage stage = end(unsent ? CancelStage::kUnsent : CancelStage::kRunning);
  this->admission.Abandoned(inbound->id, SteadyClock::now());
  return stage;
}

TargetLogContext TargetService::LogContext(const InboundCall& inbound) const {
  return {inbound, this->admission, this->Target(), this->options.wire};
}

}  // namespace fireflyrun::node
