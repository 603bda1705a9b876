#include "node/attempt_sender.h"

#include <algorithm>
#include <utility>

#include "http/status.h"
#include "node/level_key.h"
#include "node/outbound_call.h"
#include "node/ticket_codec.h"
#include "policy/call_outcome.h"
#include "policy/reported_load.h"
#include "policy/target_chooser.h"

namespace fireflyrun::node {
namespace {

using peer::LinkErrorKind;
using policy::CallOutcome;
using policy::RefusalReason;

bool IsLoadRefusal(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kOverload:
    case RefusalReason::kQueueFull:
    case RefusalReason::kAdmissionLevel:
    case RefusalReason::kDeadline:
    case RefusalReason::kLinkSlow:
    case RefusalReason::kLeaving:
    case RefusalReason::kNoTarget:
    case RefusalReason::kTicketVoid:
      return true;
    default:
      return false;
  }
}

CallOutcome OutcomeForChooser(const AttemptResult& result) {
  if (!result.from_target_node) return CallOutcome::kLinkLost;
  if (result.reason == RefusalReason::kDownstreamFailed) return CallOutcome::kRefused;
  if (result.outcome == peer::pb::OUTCOME_ANSWERED) {
    const bool server_error = http::IsServerError(static_cast<int>(result.answer.head.status()));
    return server_error ? CallOutcome::kFailed : CallOutcome::kSucceeded;
  }
  // A refusal by the target itself counts as a failure: its node sends it no more calls than it has
  // slots, so the target is failing, whatever its health check reports.
  if (IsLoadRefusal(result.reason)) return CallOutcome::kRefused;
  return CallOutcome::kFailed;
}

AttemptResult FromLinkError(const peer::LinkError& error) {
  AttemptResult result;
  const bool never_ran = error.kind != LinkErrorKind::kUnknown;
  result.outcome = never_ran ? peer::pb::OUTCOME_NOT_RUN : peer::pb::OUTCOME_UNKNOWN;
  result.reason = never_ran ? RefusalReason::kUnreachable : RefusalReason::kLinkLost;
  return result;
}

AttemptResult FromAnswer(peer::Answer answer) {
  AttemptResult result;
  result.from_target_node = true;
  result.outcome = answer.head.outcome();
  const auto reason = policy::kRefusalReasonNames.ValueOf(answer.head.reason());
  result.reason = reason.value_or(RefusalReason::kNone);
  if (answer.head.has_successor()) result.successor = FromMessage(answer.head.successor());
  result.answer = std::move(answer);
  return result;
}

std::optional<policy::PriorityKey> ReportedLevel(const AttemptResult& result) {
  if (!result.from_target_node || !result.answer.head.has_level()) return std::nullopt;
  return policy::PriorityKey{result.answer.head.level().rank(), result.answer.head.level().hash()};
}

}  // namespace

AttemptSender::AttemptSender(Hooks sender_hooks, policy::TargetChooser& target_chooser)
    : hooks(std::move(sender_hooks)), chooser(target_chooser) {}

peer::Call AttemptSender::BuildCall(const OutboundCall& call, const Attempt& attempt,
                                    const Id128& call_id, const policy::RetryGrant& grant) const {
  peer::Call message;
  auto& head = message.head;
  head.set_call_id(call_id.ToBytes());
  head.set_root_id(call.root_id.ToBytes());
  const Duration left =
      call.deadline - SteadyClock::now() - this->hooks.one_way_delay(attempt.address.node);
  head.set_deadline_us(
      static_cast<std::uint32_t>(std::max<std::int64_t>(1, ToMicroseconds(left).count())));
  head.set_service(call.route->service);
  head.set_method(call.method);
  head.set_target(call.target);
  for (const auto& header : call.headers) {
    auto* field = head.add_headers();
    field->set_name(header.name);
    field->set_value(header.value);
  }
  head.set_call_class(call.call_class.name);
  head.set_class_rank(call.call_class.rank);
  head.set_may_leave_region(call.call_class.may_leave_region);
  head.set_tenant(call.tenant);
  head.set_retry_allotment(grant.amount);
  head.set_depth(call.depth);
  head.set_at_most_once(attempt.ticket.has_value());
  if (attempt.ticket) *head.mutable_ticket() = ToMessage(*attempt.ticket);
  if (attempt.successor) *head.mutable_successor() = ToMessage(*attempt.successor);
  message.body = call.body;
  message.deadline = call.deadline;
  return message;
}

Id128 AttemptSender::Send(const OutboundCall& call, const Attempt& attempt, Handler handler) {
  const Id128 call_id = Id128::Random();
  const auto grant = call.allotment->Grant();
  auto message = this->BuildCall(call, attempt, call_id, grant);
  this->pending_attempts[call_id] = {
      attempt.address.node, LevelKey(*call.route), SteadyClock::now(), call.allotment, grant,
      std::move(handler)};
  this->chooser.OnSent(attempt.address.node);
  this->hooks.send(attempt.address, std::move(message), call.deadline,
                   [this, call_id](tl::expected<peer::Answer, peer::LinkError> ended) {
                     this->OnEnded(call_id, std::move(ended));
                   });
  return call_id;
}

void AttemptSender::OnEnded(const Id128& call_id,
                            tl::expected<peer::Answer, peer::LinkError> ended) {
  auto node = this->pending_attempts.extract(call_id);
  if (node.empty()) return;
  Pending& pending = node.mapped();
  AttemptResult result = ended ? FromAnswer(std::move(*ended)) : FromLinkError(ended.error());
  if (ended) {
    pending.allotment->Return(pending.grant.id, result.answer.head.unused_retries());
  } else if (ended.error().kind != LinkErrorKind::kUnknown) {
    pending.allotment->Return(pending.grant.id, pending.grant.amount);
  }
  this->Report(pending, result);
  pending.handler(std::move(result));
}

void AttemptSender::Report(const Pending& pending, const AttemptResult& result) {
  const SteadyTime now = SteadyClock::now();
  const auto& head = result.answer.head;
  this->chooser.OnAnswered(pending.level_key, pending.node, OutcomeForChooser(result),
                           now - pending.sent_at, {head.in_flight(), head.limit()},
                           ReportedLevel(result), now);
  this->hooks.report(pending.node, result.from_target_node);
}

void AttemptSender::Cancel(const Id128& call_id) {
  auto node = this->pending_attempts.extract(call_id);
  if (node.empty()) return;
  const Pending& pending = node.mapped();
  this->hooks.cancel(pending.node, call_id);
  const SteadyTime now = SteadyClock::now();
  this->chooser.OnAnswered(pending.level_key, pending.node, policy::CallOutcome::kCancelled,
                           now - pending.sent_at, {}, std::nullopt, now);
}

}  // namespace fireflyrun::node
