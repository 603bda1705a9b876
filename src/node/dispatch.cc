#include "node/dispatch.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "common/random.h"
#include "common/timer_service.h"
#include "http/status.h"
#include "node/attempt_sender.h"
#include "node/call_context.h"
#include "node/level_key.h"
#include "node/retry_budgets.h"
#include "node/target_directory.h"
#include "policy/target_chooser.h"

namespace fireflyrun::node {
namespace {

using peer::pb::Outcome;
using policy::RefusalReason;

constexpr std::uint32_t kMaxMoves = 3;
constexpr std::uint32_t kMaxLoadMoves = 1;
constexpr std::uint32_t kBaselineRetriesPerHop = 3;
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(4);
constexpr std::uint32_t kMaxDelayDoublings = 4;
constexpr Duration kRedeliveryDelay = std::chrono::milliseconds(50);

Duration RetryDelay(std::uint32_t retries) {
  const Duration longest = kFirstRetryDelay * (1U << std::min(retries, kMaxDelayDoublings));
  return Duration(static_cast<Duration::rep>(RandomBelow(longest.count()) + 1));
}

/// The call has not run, and another target may take it at once.
bool AllowsMove(RefusalReason reason) {
  return reason == RefusalReason::kLeaving || reason == RefusalReason::kNoTarget ||
         reason == RefusalReason::kUnreachable || reason == RefusalReason::kTicketVoid;
}

/// As AllowsMove(), but the refusal indicates overload, which many moves would only spread.
bool AllowsLoadMove(RefusalReason reason) {
  return reason == RefusalReason::kOverload || reason == RefusalReason::kQueueFull ||
         reason == RefusalReason::kAdmissionLevel || reason == RefusalReason::kLinkSlow;
}

/// True for a caller's key. Until its ticket is resolved, it may belong to an earlier request that
/// ran.
bool HasKey(TicketSource source) {
  return source != TicketSource::kNone && source != TicketSource::kFresh;
}

http::Headers ToHeaders(const peer::pb::AnswerHead& head) {
  http::Headers headers;
  headers.reserve(static_cast<std::size_t>(head.headers_size()));
  for (const auto& header : head.headers()) headers.push_back({header.name(), header.value()});
  return headers;
}

}  // namespace

Dispatch::Dispatch(const DispatchServices& used_services, OutboundCall outbound, Handler on_end)
    : services(used_services),
      call(std::move(outbound)),
      handler(std::move(on_end)),
      fixed_retries_left(used_services.fixed_retries ? kBaselineRetriesPerHop : 0),
      may_have_run(HasKey(this->call.ticket_source)) {}

void Dispatch::Start() {
  asio::post(this->services.timers->Loop(), [weak = this->weak_from_this()] {
    if (const auto self = weak.lock(); self && !self->ended) self->Step();
  });
}

void Dispatch::Cancel() {
  this->trace.OnCancelled(this->call);
  this->Abandon();
  if (this->attempt_id) this->services.sender->Cancel(*this->attempt_id);
}

void Dispatch::OnParentEnded(RefusalReason why) {
  if (why == RefusalReason::kDeadline && this->attempt_id) return;
  if (this->attempt_id) {
    this->may_have_run = true;
    this->services.sender->Cancel(*this->attempt_id);
  }
  this->FinishRefused(why);
}

void Dispatch::OnDrainEnded() {
  const bool expired = SteadyClock::now() >= this->call.deadline;
  if (this->attempt_id) {
    this->may_have_run = true;
    this->services.sender->Cancel(*this->attempt_id);
  }
  this->FinishRefused(expired ? RefusalReason::kDeadline : this->ReasonToStop());
}

/// A repeat without a ticket was decided on a moment ago, and its last answer is gone; other
/// attempts may have waited for the store since.
bool Dispatch::MayStillStart() const {
  const bool just_decided = this->call.ticket_source == TicketSource::kNone && !this->tried.empty();
  return just_decided || this->services.may_start(this->call);
}

RefusalReason Dispatch::ReasonToStop() const {
  const bool was_sent = !this->tried.empty();
  const bool may_run = was_sent && (this->ran || this->may_have_run);
  return may_run ? RefusalReason::kOutcomeUnknown : RefusalReason::kLeaving;
}

void Dispatch::Abandon() {
  this->ended = true;
  this->timer.Reset();
}

void Dispatch::Step() {
  if (SteadyClock::now() >= this->call.deadline) {
    this->FinishRefused(RefusalReason::kDeadline);
  } else if (!this->MayStillStart()) {
    this->FinishRefused(this->ReasonToStop());
  } else if (this->call.ticket_source == TicketSource::kNone) {
    this->SendIdempotent();
  } else if (!this->ticket) {
    this->ResolveTicket();
  } else {
    this->SendTicketed();
  }
}

policy::TargetQuery Dispatch::MakeQuery() const {
  return {this->call.route->service,
          LevelKey(*this->call.route),
          this->call.call_class,
          this->call.key,
          this->tried,
          this->call.body.size()};
}

void Dispatch::SendIdempotent() {
  auto query = this->MakeQuery();
  const auto& candidates = this->services.directory->CandidatesOf(this->call.route->service);
  auto choice = this->services.chooser->Choose(query, candidates, SteadyClock::now());
  if (!choice && !this->tried.empty()) {
    this->tried.clear();
    query.excluded.clear();
    choice = this->services.chooser->Choose(query, candidates, SteadyClock::now());
  }
  this->trace.OnRouted(this->call, candidates, choice, *this->services.chooser);
  if (!choice) {
    this->FinishRefused(choice.error());
    return;
  }
  const auto address = this->services.directory->AddressOf(choice->node, choice->incarnation);
  if (!address) {
    this->FinishRefused(RefusalReason::kUnreachable);
    return;
  }
  this->tried.push_back(choice->node);
  this->SendAttempt({*address, std::nullopt, std::nullopt});
}

std::optional<policy::Ticket> Dispatch::ProposeTicket(const policy::TargetQuery& query) {
  const auto& candidates = this->services.directory->CandidatesOf(this->call.route->service);
  const auto choice = this->services.chooser->Choose(query, candidates, SteadyClock::now());
  if (!this->ticket) this->trace.OnRouted(this->call, candidates, choice, *this->services.chooser);
  if (!choice) return std::nullopt;
  const auto window = this->services.directory->TicketWindowOf(choice->node);
  return policy::Ticket::Issue(choice->node, choice->incarnation, window);
}

std::optional<policy::Ticket> Dispatch::ProposeFirstTicket() {
  auto query = this->MakeQuery();
  if (auto proposed = this->ProposeTicket(query)) return proposed;
  // Shedding the call here would leave the key's outcome open; the target's node can refuse it
  // permanently.
  query.key = policy::PriorityKey{};
  return this->ProposeTicket(query);
}

void Dispatch::ResolveTicket() {
  switch (this->call.ticket_source) {
    case TicketSource::kCaller:
      this->ResolveCallerTicket();
      return;
    case TicketSource::kParent:
      this->ResolveParentTicket();
      return;
    case TicketSource::kStore:
      this->ResolveStoreTicket();
      return;
    case TicketSource::kFresh:
    case TicketSource::kNone:
      break;
  }
  const auto proposed = this->ProposeFirstTicket();
  if (!proposed) {
    this->FinishRefused(RefusalReason::kNoTarget);
    return;
  }
  this->UseTicket(*proposed, true);
}

void Dispatch::ResolveCallerTicket() {
  const auto given = policy::Ticket::FromText(this->call.idempotency_key);
  if (!given) {
    this->FinishRefused(RefusalReason::kBadRequest);
    return;
  }
  this->UseTicket(*given, false);
}

void Dispatch::ResolveParentTicket() {
  const auto proposed = this->ProposeFirstTicket();
  if (!proposed) {
    this->FinishRefused(RefusalReason::kNoTarget);
    return;
  }
  auto& bindings = this->call.parent->bindings;
  const auto current =
      bindings.Bind(this->call.route->service, this->call.idempotency_key, *proposed);
  if (!current) {
    this->FinishRefused(current.error());
    return;
  }
  this->UseTicket(*current, *current == *proposed);
}

void Dispatch::ResolveStoreTicket() {
  const auto proposed = this->ProposeFirstTicket();
  if (!proposed) {
    this->FinishRefused(RefusalReason::kNoTarget);
    return;
  }
  this->services.bind_key(
      this->call.route->service, this->call.idempotency_key, proposed->ToText(),
      [weak = this->weak_from_this(), proposed](tl::expected<std::string, RefusalReason> current) {
        const auto self = weak.lock();
        if (!self || self->ended) return;
        const auto bound = current ? policy::Ticket::FromText(*current) : std::nullopt;
        if (!bound) {
          self->FinishRefused(current ? RefusalReason::kBadRequest : current.error());
          return;
        }
        self->UseTicket(*bound, *bound == *proposed);
      });
}

void Dispatch::UseTicket(const policy::Ticket& current, bool own) {
  this->ticket = current;
  this->may_have_run = !own;
  this->Step();
}

void Dispatch::SendTicketed() {
  const auto address =
      this->services.directory->AddressOf(this->ticket->node, this->ticket->incarnation);
  if (!address) {
    this->FinishRefused(RefusalReason::kWrongIncarnation);
    return;
  }
  this->tried.push_back(this->ticket->node);
  this->proposed_successor = this->ProposeTicket(this->MakeQuery());
  this->SendAttempt({*address, this->ticket, this->proposed_successor});
}

void Dispatch::SendAttempt(Attempt attempt) {
  this->trace.OnSent(this->call, attempt);
  this->attempt_id = this->services.sender->Send(
      this->call, attempt, [weak = this->weak_from_this()](AttemptResult result) {
        const auto self = weak.lock();
        if (self && !self->ended) self->OnAttempt(std::move(result));
      });
}

void Dispatch::OnAttempt(AttemptResult result) {
  this->attempt_id.reset();
  this->trace.OnAttemptEnded(this->call, result);
  if (result.outcome == Outcome::OUTCOME_ANSWERED) {
    this->ran = true;
    const bool server_error = http::IsServerError(static_cast<int>(result.answer.head.status()));
    if (!server_error) this->services.budgets->OnSuccess(*this->call.route);
    const bool repeatable = this->call.ticket_source == TicketSource::kNone;
    if (server_error && repeatable && this->MayRetry(result)) {
      this->After(RetryDelay(this->retries), [this] { this->Step(); });
      return;
    }
    if (server_error) this->TraceNotRepeated(result);
    this->FinishAnswered(std::move(result));
    return;
  }
  if (result.outcome == Outcome::OUTCOME_RAN) this->ran = true;
  if (result.outcome == Outcome::OUTCOME_UNKNOWN) this->may_have_run = true;
  if (this->call.ticket_source == TicketSource::kNone) {
    this->Repeat(result, Duration::zero(), [this] { this->Step(); });
  } else {
    this->OnTicketedRefusal(result);
  }
}

void Dispatch::OnTicketedRefusal(const AttemptResult& result) {
  if (!result.from_target_node) {
    // Sends the same ticket again: only its own node knows its outcome, and sending it twice does
    // not run the call twice.
    this->Repeat(result, kRedeliveryDelay, [this] { this->Step(); });
    return;
  }
  if (result.outcome != Outcome::OUTCOME_NOT_RUN) {
    this->FinishRefused(result);
    return;
  }
  // The ticket is void. Only its successor can have run, and only if another request proposed it.
  this->may_have_run = result.successor && result.successor != this->proposed_successor;
  if (!result.successor) {
    this->FinishRefused(result);
    return;
  }
  const policy::Ticket successor = *result.successor;
  this->Repeat(result, Duration::zero(), [this, successor] { this->FollowSuccessor(successor); });
}

void Dispatch::FollowSuccessor(const policy::Ticket& successor) {
  const bool own = !this->may_have_run;
  const policy::Ticket from = *this->ticket;
  if (this->call.ticket_source == TicketSource::kParent) {
    const auto current = this->call.parent->bindings.Move(
        this->call.route->service, this->call.idempotency_key, from, successor);
    if (current) {
      this->UseTicket(*current, own && *current == successor);
    } else {
      this->FinishRefused(current.error());
    }
    return;
  }
  if (this->call.ticket_source != TicketSource::kStore) {
    this->UseTicket(successor, own);
    return;
  }
  this->services.move_key(
      this->call.route->service, this->call.idempotency_key, from.ToText(), successor.ToText(),
      [weak = this->weak_from_this(), successor,
       own](tl::expected<std::string, RefusalReason> current) {
        const auto self = weak.lock();
        if (!self || self->ended) return;
        // The refusing node returns the same successor to every request, so an unreachable store
        // does not change which ticket is in force.
        const auto bound = current ? policy::Ticket::FromText(*current) : successor;
        self->UseTicket(bound.value_or(successor), own && bound == successor);
      });
}

void Dispatch::Repeat(const AttemptResult& result, Duration move_delay,
                      const std::function<void()>& again) {
  const bool time_left = SteadyClock::now() < this->call.deadline;
  if (time_left && this->MayMove(result)) {
    this->After(move_delay, again);
  } else if (time_left && this->MayRetry(result)) {
    this->After(RetryDelay(this->retries), again);
  } else {
    this->TraceNotRepeated(result);
    this->FinishRefused(result);
  }
}

void Dispatch::TraceNotRepeated(const AttemptResult& result) {
  this->trace.OnNotRepeated(
      this->call, result,
      {this->moves, kMaxMoves, this->services.budgets->Available(*this->call.route)});
}

bool Dispatch::MayMove(const AttemptResult& result) {
  if (result.outcome != Outcome::OUTCOME_NOT_RUN) return false;
  if (!this->services.may_start(this->call)) return false;
  const bool for_load = AllowsLoadMove(result.reason);
  if (!for_load && !AllowsMove(result.reason)) return false;
  if (this->moves >= (for_load ? kMaxLoadMoves : kMaxMoves)) return false;
  ++this->moves;
  this->trace.OnMoved(this->call, result);
  this->services.count_repeat(this->call, true);
  return true;
}

bool Dispatch::MayRetry(const AttemptResult& result) {
  if (!this->services.may_start(this->call)) return false;
  if (this->services.fixed_retries) {
    if (this->fixed_retries_left == 0) return false;
    --this->fixed_retries_left;
  } else {
    const auto attempts = static_cast<std::uint32_t>(this->call.route->max_attempts);
    if (attempts > 0 && this->retries + 1 >= attempts) return false;
    if (result.answer.head.final() || this->call.allotment->Exhausted()) return false;
    if (!this->services.budgets->TrySpend(*this->call.route)) return false;
    if (!this->call.allotment->TrySpend()) return false;
  }
  ++this->retries;
  this->trace.OnRetried(this->call, result, this->services.budgets->Available(*this->call.route));
  this->services.count_repeat(this->call, false);
  return true;
}

void Dispatch::After(Duration delay, std::function<void()> step) {
  this->timer =
      this->services.timers->After(delay, [weak = this->weak_from_this(), step = std::move(step)] {
        const auto self = weak.lock();
        if (self && !self->ended) step();
      });
}

void Dispatch::FinishAnswered(AttemptResult result) {
  CallResult end;
  const auto& head = result.answer.head;
  end.outcome = Outcome::OUTCOME_ANSWERED;
  end.reason = result.reason;
  end.status = static_cast<int>(head.status());
  end.headers = ToHeaders(head);
  end.body = std::move(result.answer.body);
  end.final = head.final();
  this->Finish(std::move(end));
}

void Dispatch::FinishRefused(const AttemptResult& result) {
  CallResult end;
  const auto& head = result.answer.head;
  end.outcome = this->OverallOutcome(result.outcome);
  const bool expired = SteadyClock::now() >= this->call.deadline;
  const bool link_lost = result.reason == RefusalReason::kLinkLost;
  end.reason = expired && link_lost ? RefusalReason::kDeadline : result.reason;
  end.retry_after = std::chrono::milliseconds(head.retry_after_ms());
  end.final = head.final() || this->call.allotment->Exhausted();
  this->Finish(std::move(end));
}

void Dispatch::FinishRefused(RefusalReason reason) {
  CallResult end;
  end.outcome = this->OverallOutcome(Outcome::OUTCOME_NOT_RUN);
  end.reason = reason;
  this->Finish(std::move(end));
}

Outcome Dispatch::OverallOutcome(Outcome last) const {
  if (this->ran) return Outcome::OUTCOME_RAN;
  if (this->may_have_run) return Outcome::OUTCOME_UNKNOWN;
  return last;
}

void Dispatch::Finish(CallResult result) {
  this->ended = true;
  this->timer.Reset();
  const auto& candidates = this->services.directory->CandidatesOf(this->call.route->service);
  result.level = this->services.chooser->LeastRestrictiveLevel(this->MakeQuery(), candidates,
                                                               SteadyClock::now());
  result.retries = this->retries;
  result.moves = this->moves;
  result.trace = this->trace;
  const auto keep_alive = this->shared_from_this();
  this->handler(std::move(result));
}

}  // namespace fireflyrun::node
