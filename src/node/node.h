#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "node/node_settings.h"
#include "node/platform_adapter.h"

namespace fireflyrun::node {

/// The whole node: all subsystems, connected and supervised. Runs on one event loop.
class Node {
 public:
  Node(asio::io_context& loop, NodeSettings node_settings, const PlatformAdapter& platform);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts every component; the error names the failed component and the reason.
  tl::expected<void, std::string> Start();

  /// Applies the settings of `changed` that can change while the node runs.
  void Apply(const NodeSettings& changed);

  /// Stops gracefully: announces the stop to the fleet, takes no new calls, finishes the running
  /// ones, and calls `done`. Calls that still run after the stop limit are abandoned.
  void Stop(std::function<void()> done);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::node
