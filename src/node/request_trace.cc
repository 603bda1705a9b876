#include "node/request_trace.h"

#include <algorithm>

#include "common/log.h"
#include "common/log_event.h"
#include "node/attempt.h"
#include "node/attempt_result.h"
#include "node/level_key.h"
#include "node/outbound_call.h"
#include "node/refusal_response.h"
#include "node/request_log.h"
#include "policy/target_chooser.h"

namespace fireflyrun::node {
namespace {

using policy::kRefusalReasonNames;
using policy::RefusalReason;

constexpr std::string_view kComponent = "caller";
constexpr std::size_t kMaxLoggedCandidates = 6;

/// A single step of a call, logged at level debug.
class StepEvent : public LogEvent {
 public:
  StepEvent(std::string_view event, const OutboundCall& call)
      : LogEvent(LogLevel::kDebug, kComponent, event, LogUrgency::kSuccess) {
    if (!this->Active()) return;
    this->Add("request", call.request_id);
    this->Add("service", call.route->service);
    this->Add("left_ms", call.deadline - SteadyClock::now());
  }
};

std::string_view WhyNotRepeated(const OutboundCall& call, const AttemptResult& result,
                                const RequestTrace::RepeatInputs& inputs) {
  if (SteadyClock::now() >= call.deadline) return "no-time-left";
  if (result.answer.head.final()) return "final";
  if (call.allotment->Exhausted()) return "no-attempts-left";
  if (inputs.budget_left < 1) return "no-budget-left";
  return inputs.moves >= inputs.max_moves ? "no-moves-left" : "not-repeatable";
}

/// `NODE/ZONE:WHY` for the first kMaxLoggedCandidates candidates.
std::string WhyPassedOver(const OutboundCall& call,
                          const std::vector<policy::Candidate>& candidates,
                          const policy::TargetChooser& chooser) {
  std::string text;
  const std::string scope = LevelKey(*call.route);
  const std::size_t logged = std::min(candidates.size(), kMaxLoggedCandidates);
  for (std::size_t i = 0; i < logged; ++i) {
    const auto& candidate = candidates[i];
    const auto* load = chooser.LoadOf(candidate.node);
    const auto level = chooser.Levels().Level(scope, candidate.node, SteadyClock::now());
    std::string why = "may-take-it";
    if (candidate.leaving) {
      why = "leaving";
    } else if (!candidate.reachable) {
      why = "unreachable";
    } else if (candidate.slots == 0) {
      why = "no-slots";
    } else if (level < call.key) {
      why = "level-" + LevelText(level);
    } else if (load != nullptr && load->Ejected()) {
      why = "outlier";
    }
    if (!text.empty()) text += ',';
    text += candidate.node + '/' + candidate.zone + ':' + why;
  }
  return text;
}

}  // namespace

void RequestTrace::OnRouted(const OutboundCall& call,
                            const std::vector<policy::Candidate>& candidates, const Choice& choice,
                            const policy::TargetChooser& chooser) {
  this->routing = {};
  this->routing.candidates = candidates.size();
  for (const auto& candidate : candidates) {
    this->routing.reachable += candidate.reachable ? 1 : 0;
    this->routing.leaving += candidate.leaving ? 1 : 0;
  }
  if (choice) {
    this->routing.tier = choice->tier;
  } else {
    this->routing.refusal = choice.error();
    this->routing.passed_over = WhyPassedOver(call, candidates, chooser);
  }
  if (!LogEnabled(LogLevel::kDebug)) return;
  StepEvent event("routed", call);
  this->AddRouting(&event);
  if (choice) event.Add("target", choice->node);
}

void RequestTrace::OnSent(const OutboundCall& call, const Attempt& attempt) {
  ++this->attempts;
  this->sent = {attempt.address.node, SteadyClock::now(), true};
  if (!LogEnabled(LogLevel::kDebug)) return;
  StepEvent event("sent", call);
  event.Add("target", this->sent.node).Add("attempt", this->attempts);
  event.Add("once", attempt.ticket.has_value());
}

void RequestTrace::OnAttemptEnded(const OutboundCall& call, const AttemptResult& result) {
  const SteadyTime now = SteadyClock::now();
  const auto& head = result.answer.head;
  this->sent.in_progress = false;
  this->last_result = {result.reason,   head.status(),           head.in_flight(),    head.limit(),
                       head.queue_us(), result.from_target_node, now - this->sent.at, now};
  if (!LogEnabled(LogLevel::kDebug)) return;
  StepEvent event("attempt-ended", call);
  event.Add("target", this->sent.node).Add("attempt", this->attempts);
  event.Add("outcome", OutcomeName(result.outcome));
  this->AddLastResult(&event);
}

void RequestTrace::OnMoved(const OutboundCall& call, const AttemptResult& result) {
  if (!LogEnabled(LogLevel::kDebug)) return;
  StepEvent event("moved", call);
  event.Add("from", this->sent.node).Add("cause", kRefusalReasonNames.NameOf(result.reason));
}

void RequestTrace::OnRetried(const OutboundCall& call, const AttemptResult& result,
                             double budget_now) {
  if (!LogEnabled(LogLevel::kDebug)) return;
  StepEvent event("retried", call);
  event.Add("after", this->sent.node).Add("cause", kRefusalReasonNames.NameOf(result.reason));
  event.Add("budget_left", budget_now).Add("attempts_left", call.allotment->Remaining());
}

void RequestTrace::OnNotRepeated(const OutboundCall& call, const AttemptResult& result,
                                 const RepeatInputs& inputs) {
  this->not_repeated = WhyNotRepeated(call, result, inputs);
  this->budget_left = inputs.budget_left;
  this->allotment_left = call.allotment->Remaining();
  if (!LogEnabled(LogLevel::kDebug)) return;
  StepEvent event("not-repeated", call);
  event.Add("why", this->not_repeated).Add("budget_left", this->budget_left);
  event.Add("attempts_left", this->allotment_left);
}

void RequestTrace::OnCancelled(const OutboundCall& call) const {
  LogEvent event(LogLevel::kInfo, kComponent, "cancelled", LogUrgency::kFailure);
  if (!event.Active()) return;
  event.Add("request", call.request_id).Add("service", call.route->service);
  event.Add("class", call.call_class.name);
  event.Add("cause", "caller-gone").Add("left_ms", call.deadline - SteadyClock::now());
  if (this->sent.in_progress) event.Add("under_way_ms", SteadyClock::now() - this->sent.at);
  this->AddTo(&event);
}

RefusalReason RequestTrace::NoChoice() const {
  return this->attempts == 0 ? this->routing.refusal : RefusalReason::kNone;
}

void RequestTrace::AddTo(LogEvent* event) const {
  this->AddRouting(event);
  event->Add("attempts", this->attempts);
  if (this->attempts == 0) return;
  event->Add("target", this->sent.node);
  if (this->last_result.at != SteadyTime()) this->AddLastResult(event);
  if (this->not_repeated.empty()) return;
  event->Add("not_repeated", this->not_repeated).Add("budget_left", this->budget_left);
  event->Add("attempts_left", this->allotment_left);
}

void RequestTrace::AddRouting(LogEvent* event) const {
  event->Add("candidates", this->routing.candidates).Add("reachable", this->routing.reachable);
  event->Add("leaving", this->routing.leaving);
  if (this->routing.refusal != RefusalReason::kNone) {
    event->Add("no_choice", kRefusalReasonNames.NameOf(this->routing.refusal));
    event->Add("passed_over", this->routing.passed_over);
  } else if (this->routing.candidates > 0) {
    event->Add("tier", policy::kTargetTierNames.NameOf(this->routing.tier));
  }
}

void RequestTrace::AddLastResult(LogEvent* event) const {
  event->Add("told_by", this->last_result.from_target_node ? "target-node" : "own-link");
  event->Add("told", kRefusalReasonNames.NameOf(this->last_result.reason));
  event->Add("told_ms_ago", SteadyClock::now() - this->last_result.at);
  event->Add("attempt_ms", this->last_result.took);
  if (!this->last_result.from_target_node) return;
  if (this->last_result.status != 0) event->Add("target_status", this->last_result.status);
  event->Add("in_flight", this->last_result.in_flight).Add("limit", this->last_result.limit);
  event->Add("queue_ms", static_cast<double>(this->last_result.queue_us) / 1000);
}

}  // namespace fireflyrun::node
