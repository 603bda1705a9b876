#pragma once

namespace fireflyrun::store {
class ObservedStore;
}

namespace fireflyrun::node {

class NodeMetrics;

/// Adds resident memory and the number of log lines left out.
void AddProcessMetrics(NodeMetrics* metrics);

/// Adds store calls by kind and result; `store` is null for a node without a store.
void AddStoreMetrics(const store::ObservedStore* store, NodeMetrics* metrics);

}  // namespace fireflyrun::node
