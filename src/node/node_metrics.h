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

/// All counters and timings of a node, and their exposition.
///
/// Latency, refusals, retries and moves cover calls that start at this node. Queue time, service
/// time and admissions cover calls to its own target.
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
