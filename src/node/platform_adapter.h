#pragma once

#include <functional>
#include <memory>
#include <string>

namespace fireflyrun {
class TimerService;
}
namespace fireflyrun::http {
class Client;
}
namespace fireflyrun::store {
class RecordSource;
class Store;
}  // namespace fireflyrun::store

namespace fireflyrun::node {

struct NodeSettings;

/// Connects a node to the services of its site. With empty hooks, the store is etcd and the records
/// are those that operators write with `fireflyrun apply`.
struct PlatformAdapter {
  std::function<std::unique_ptr<store::Store>(http::Client&, TimerService&, const NodeSettings&)>
      make_store;
  std::function<std::unique_ptr<store::RecordSource>(store::Store&, TimerService&,
                                                     const NodeSettings&)>
      make_record_source;
  /// The name of a service's record, for the name by which the site and its targets call it.
  std::function<std::string(const std::string& service)> service_record_name;
  /// Every node follows the record source; other nodes are queried only when the source fails.
  bool every_node_follows_source = false;
};

}  // namespace fireflyrun::node
