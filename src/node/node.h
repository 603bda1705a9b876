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

/// The whole node: every subsystem, wired and supervised. Lives on one event loop.
class Node {
 public:
  Node(asio::io_context& loop, NodeSettings node_settings, const PlatformAdapter& platform);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts every part; the error names the part and its reason.
  tl::expected<void, std::string> Start();

  /// Brings those of `changed` into force that can change while the node runs.
  void Apply(const NodeSettings& changed);

  /// Stops gracefully: tells the fleet, takes no new work, finishes what runs, and calls `done`.
  /// What still runs after the stop limit is given up.
  void Stop(std::function<void()> done);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::node
