#include "node/node_metrics.h"

#include <utility>
#include <vector>

#include "http/status.h"
#include "node/call_result.h"
#include "node/outbound_call.h"
#include "policy/refusal_reason.h"

namespace fireflyrun::node {
namespace {

using metrics::CallCounter;
using metrics::CallTiming;

/// In the order of the enum's values, which index the refusal counters.
std::vector<std::string> ReasonNames() {
  std::vector<std::string> names;
  for (const auto& entry : policy::kRefusalReasonNames.Entries()) {
    names.emplace_back(entry.second);
  }
  return names;
}

}  // namespace

NodeMetrics::NodeMetrics() : calls(ReasonNames()) {
  this->registry.AddText([this](std::string* out) { this->calls.Render(out); });
}

metrics::SeriesId NodeMetrics::SeriesOf(const InboundCall& inbound) {
  return this->calls.Resolve(inbound.call.head.call_class(), inbound.call.head.tenant());
}

metrics::SeriesId NodeMetrics::SeriesOf(const OutboundCall& call) {
  return this->calls.Resolve(call.call_class.name, call.tenant);
}

TargetService::Hooks NodeMetrics::TargetHooks() {
  TargetService::Hooks hooks;
  hooks.on_admitted = [this](const InboundCall& inbound, Duration queue_time) {
    const auto series = this->SeriesOf(inbound);
    this->calls.Count(series, CallCounter::kAdmitted);
    this->calls.Observe(series, CallTiming::kQueue, queue_time);
  };
  hooks.on_refused = [this](const InboundCall& inbound, policy::RefusalReason reason) {
    this->calls.CountRefusal(this->SeriesOf(inbound), static_cast<std::size_t>(reason));
  };
  hooks.on_answered = [this](const InboundCall& inbound, Duration service_time) {
    this->calls.Observe(this->SeriesOf(inbound), CallTiming::kService, service_time);
  };
  return hooks;
}

void NodeMetrics::OnEnded(const OutboundCall& call, const CallResult& result, Duration latency) {
  const auto series = this->SeriesOf(call);
  this->calls.Observe(series, CallTiming::kLatency, latency);
  if (!result.Answered()) {
    this->calls.CountRefusal(series, static_cast<std::size_t>(result.reason));
  }
  if (!result.Answered() || http::IsServerError(result.status)) {
    this->calls.Count(series, CallCounter::kFailures);
  }
}

void NodeMetrics::CountRepeat(const OutboundCall& call, bool is_move) {
  const auto counter = is_move ? CallCounter::kMoves : CallCounter::kRetries;
  this->calls.Count(this->SeriesOf(call), counter);
}

void NodeMetrics::AddGauge(std::string_view name, std::string_view help,
                           std::function<double()> value, metrics::Labels labels) {
  this->registry.AddGauge(name, help, std::move(value), std::move(labels));
}

void NodeMetrics::AddCounter(std::string_view name, std::string_view help,
                             std::function<double()> value, metrics::Labels labels) {
  this->registry.AddCounter(name, help, std::move(value), std::move(labels));
}

}  // namespace fireflyrun::node
