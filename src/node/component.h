#pragma once

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace fireflyrun::node {

/// A subsystem under a supervisor.
struct Component {
  std::string name;
  /// Starts the component, or returns the reason why it can't.
  std::function<tl::expected<void, std::string>()> start;
  /// Stops the component, then calls `done` once.
  std::function<void(std::function<void()> done)> stop;
  /// False when the component has failed and needs a restart; empty for components that can't fail.
  std::function<bool()> healthy;
};

}  // namespace fireflyrun::node
