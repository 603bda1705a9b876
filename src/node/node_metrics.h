#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "metrics/call_metrics.h"
#include "metrics/label.h"
#include "metrics/registry.h"
#include "node/target_service.h"

namespace fireflyrun::node {

struct CallResult;
struct OutboundCall;

/// Everything that a node counts and times, and its exposition.
///
/// Latency, refusals, retries and moves are those of calls that start at this node. Queue time,
/// service time and admissions are those of calls to its own target.
class NodeMetrics {
 public:
  NodeMetrics();

  TargetService::Hooks TargetHooks();
  void OnEnded(const OutboundCall& call, const CallResult& result, Duration latency);
  void CountRepeat(const OutboundCall& call, bool is_move);

  void AddGauge(std::string_view name, std::string_view help, std::function<double()> value,
                metrics::Labels labels = {});
  void AddCounter(std::string_view name, std::string_view help, std::function<double()> value,
                  metrics::Labels labels = {});
  std::string Render() const { return this->registry.Render(); }

 private:
  metrics::SeriesId SeriesOf(const InboundCall& inbound);
  metrics::SeriesId SeriesOf(const OutboundCall& call);

  metrics::CallMetrics calls;
  metrics::Registry registry;
};

}  // namespace fireflyrun::node
