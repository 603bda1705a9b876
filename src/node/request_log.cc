#include "node/request_log.h"

#include <fmt/format.h>

#include "common/id128.h"
#include "common/log.h"
#include "common/log_event.h"
#include "http/status.h"
#include "node/call_result.h"
#include "node/inbound_call.h"
#include "node/outbound_call.h"
#include "node/refusal_response.h"
#include "node/target_address.h"
#include "node/wire_names.h"
#include "policy/admission_controller.h"
#include "policy/target_load.h"
#include "records/configuration.h"

namespace fireflyrun::node {
namespace {

using policy::kRefusalReasonNames;
using policy::RefusalReason;

constexpr std::string_view kCallerComponent = "caller";
constexpr std::string_view kTargetComponent = "target";
constexpr std::string_view kHostHeader = "Host";
constexpr std::string_view kNoId = "none";

std::string InboundRequestId(const InboundCall& inbound, const WireNames& wire) {
  for (const auto& header : inbound.call.head.headers()) {
    if (wire.request_id.empty()) break;
    if (http::SameHeaderName(header.name(), wire.request_id)) return header.value();
  }
  return Id128::FromBytes(inbound.call.head.root_id()).value_or(Id128()).ToHex();
}

/// Adds the fields common to all log lines of a call at its target's node.
class TargetEvent : public LogEvent {
 public:
  TargetEvent(LogLevel event_level, std::string_view event, LogUrgency event_urgency,
              const TargetLogContext& context)
      : LogEvent(event_level, kTargetComponent, event, event_urgency) {
    if (!this->Active()) return;
    const SteadyTime now = SteadyClock::now();
    const auto& inbound = context.inbound;
    this->Add("request", InboundRequestId(inbound, context.wire));
    this->Add("service", inbound.call.head.service());
    this->Add("class", inbound.call.head.call_class());
    this->Add("once", inbound.ticket.has_value());
    this->Add("left_ms", inbound.deadline - now);
    const bool started = inbound.started != SteadyTime();
    this->Add("queue_ms", (started ? inbound.started : now) - inbound.arrived);
    if (started) this->Add("run_ms", now - inbound.started);
  }

  void AddLoad(const TargetLogContext& context) {
    if (!this->Active()) return;
    const auto& admission = context.admission;
    this->Add("admission_level", LevelText(admission.Level()));
    this->Add("queue", admission.QueueLength());
    this->Add("in_flight", admission.InFlight());
    this->Add("limit", admission.Limit(SteadyClock::now()));
    this->Add("slots", context.target == nullptr ? 0 : context.target->slots);
    this->Add("instance", context.target == nullptr ? kNoId : context.target->id);
  }
};

/// True when the call ended because its parent ended or was cancelled.
bool EndedByParent(const CallResult& result) {
  return result.reason == RefusalReason::kParentEnded ||
         result.reason == RefusalReason::kParentCancelled;
}

std::string_view EventOfEnd(const CallResult& result) {
  if (EndedByParent(result)) return "cancelled";
  if (result.Answered()) return http::IsServerError(result.status) ? "failed" : "answered";
  return result.outcome == peer::pb::OUTCOME_NOT_RUN ? "refused" : "failed";
}

std::string_view CauseOfEnd(const CallResult& result) {
  // An at-most-once call is refused with kNoTarget, whatever the reason why no target was chosen.
  const auto no_choice = result.trace.NoChoice();
  const bool has_specific_cause =
      result.reason == RefusalReason::kNoTarget && no_choice != RefusalReason::kNone;
  if (has_specific_cause) return kRefusalReasonNames.NameOf(no_choice);
  if (result.reason != RefusalReason::kNone) return kRefusalReasonNames.NameOf(result.reason);
  return result.Answered() ? "target-status" : "unexplained";
}

LogLevel LevelOfEnd(const CallResult& result) {
  if (result.outcome == peer::pb::OUTCOME_NOT_RUN || EndedByParent(result)) return LogLevel::kInfo;
  return result.Answered() && !http::IsServerError(result.status) ? LogLevel::kDebug
                                                                  : LogLevel::kWarning;
}

}  // namespace

std::string LevelText(const policy::PriorityKey& level) {
  if (level == policy::kOpenLevel) return "open";
  return fmt::format("{}:{}", level.rank, level.hash);
}

std::string RequestIdOf(const http::Headers& headers, const WireNames& wire, const Id128& root) {
  const auto id =
      wire.request_id.empty() ? std::nullopt : http::FindHeader(headers, wire.request_id);
  return id ? std::string(*id) : root.ToHex();
}

void LogRefusedRequest(const http::Headers& headers, const WireNames& wire,
                       const records::Configuration* configuration, RefusalReason reason,
                       std::string_view detail, peer::pb::Outcome outcome) {
  LogEvent event(LogLevel::kInfo, kCallerComponent, "refused", LogUrgency::kFailure);
  if (!event.Active()) return;
  const auto id =
      wire.request_id.empty() ? std::nullopt : http::FindHeader(headers, wire.request_id);
  event.Add("request", id.value_or(kNoId)).Add("cause", kRefusalReasonNames.NameOf(reason));
  CallResult result;
  result.outcome = outcome;
  result.reason = reason;
  event.Add("detail", detail).Add("outcome", OutcomeName(outcome));
  event.Add("status", RefusalStatus(result, wire)).Add("decided_by", "entry");
  event.Add("host", http::FindHeader(headers, kHostHeader).value_or(""));
  const records::BookRevision revision =
      configuration == nullptr ? records::BookRevision() : configuration->Revision();
  event.Add("revision", records::FormatRevision(revision));
  if (configuration == nullptr) return;
  event.Add("revision_age_ms", SteadyClock::now() - configuration->BuiltAt());
  event.Add("services", configuration->ServiceNames().size());
}

void LogCallEnded(const OutboundCall& call, const CallResult& result, Duration latency,
                  const WireNames& wire) {
  const LogLevel level = LevelOfEnd(result);
  if (!LogEnabled(level)) return;
  const bool succeeded = level == LogLevel::kDebug;
  LogEvent event(level, kCallerComponent, EventOfEnd(result),
                 succeeded ? LogUrgency::kSuccess : LogUrgency::kFailure);
  if (!event.Active()) return;
  event.Add("request", call.request_id).Add("service", call.route->service);
  if (!succeeded) event.Add("cause", CauseOfEnd(result));
  event.Add("outcome", OutcomeName(result.outcome));
  event.Add("status", result.Answered() ? result.status : RefusalStatus(result, wire));
  event.Add("class", call.call_class.name).Add("from", call.tenant).Add("took_ms", latency);
  event.Add("left_ms", call.deadline - SteadyClock::now());
  event.Add("once", call.ticket_source != TicketSource::kNone);
  event.Add("retries", result.retries).Add("moves", result.moves);
  event.Add("bytes", result.body.size()).Add("revision", records::FormatRevision(call.revision));
  if (result.level != policy::kOpenLevel) {
    event.Add("key", LevelText(call.key)).Add("admission_level", LevelText(result.level));
  }
  result.trace.AddTo(&event);
}

void LogEjection(std::string_view node, const policy::TargetLoad& load) {
  LogEvent event(LogLevel::kInfo, kCallerComponent, load.Ejected() ? "outlier-out" : "outlier-in");
  if (!event.Active()) return;
  event.Add("target", node).Add("failures_in_row", load.ConsecutiveFailures());
  event.Add("failure_share", load.FailureShare());
  if (load.Ejected()) event.Add("for_ms", load.EjectedUntil() - SteadyClock::now());
}

void LogQueued(const TargetLogContext& context) {
  if (!LogEnabled(LogLevel::kDebug)) return;
  TargetEvent event(LogLevel::kDebug, "offered", LogUrgency::kSuccess, context);
  event.AddLoad(context);
}

void LogAdmitted(const TargetLogContext& context) {
  if (!LogEnabled(LogLevel::kDebug)) return;
  TargetEvent event(LogLevel::kDebug, "admitted", LogUrgency::kSuccess, context);
  event.AddLoad(context);
}

void LogTargetAnswered(const TargetLogContext& context, int status, Duration service_time) {
  const bool succeeded = !http::IsServerError(status);
  if (!LogEnabled(LogLevel::kDebug)) return;
  TargetEvent event(LogLevel::kDebug, "answered",
                    succeeded ? LogUrgency::kSuccess : LogUrgency::kAttempt, context);
  event.Add("status", status).Add("service_ms", service_time);
  if (!succeeded) event.Add("cause", "target-status");
  event.AddLoad(context);
}

void LogTargetRefused(const TargetLogContext& context, RefusalReason reason) {
  TargetEvent event(LogLevel::kInfo, "refused", LogUrgency::kAttempt, context);
  event.Add("cause", kRefusalReasonNames.NameOf(reason));
  event.AddLoad(context);
}

void LogTargetFailed(const TargetLogContext& context, const http::ClientError& error) {
  TargetEvent event(LogLevel::kInfo, "failed", LogUrgency::kAttempt, context);
  event.Add("cause", http::kClientErrorKindNames.NameOf(error.kind));
  event.Add("detail", error.message);
  event.AddLoad(context);
}

void LogTargetCancelled(const TargetLogContext& context, CancelStage stage) {
  TargetEvent event(LogLevel::kInfo, "cancelled", LogUrgency::kAttempt, context);
  event.Add("cause", "caller-gone").Add("stage", kCancelStageNames.NameOf(stage));
  event.AddLoad(context);
}

}  // namespace fireflyrun::node
