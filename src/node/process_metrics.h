#pragma once

namespace fireflyrun::store {
class ObservedStore;
}

namespace fireflyrun::node {

class NodeMetrics;

/// Memory, and log lines left out.
void AddProcessMetrics(NodeMetrics* metrics);

/// Calls to the store by kind and result; `store` is null for a node without one.
void AddStoreMetrics(const store::ObservedStore* store, NodeMetrics* metrics);

}  // namespace fireflyrun::node
