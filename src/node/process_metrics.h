#pragma once

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::store {
class ObservedStore;
}

namespace fireflyrun::node {

class NodeMetrics;

/// Adds resident memory, the number of log lines left out and that of timers held up.
void AddProcessMetrics(const TimerService& timers, NodeMetrics* metrics);

/// Adds store calls by kind and result; `store` is null for a node without a store.
void AddStoreMetrics(const store::ObservedStore* store, NodeMetrics* metrics);

}  // namespace fireflyrun::node
