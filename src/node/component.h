#pragma once

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace fireflyrun::node {

/// One subsystem as its supervisor sees it.
struct Component {
  std::string name;
  /// Starts the part; the error says why it can't.
  std::function<tl::expected<void, std::string>()> start;
  /// Stops the part and then calls `done`, once.
  std::function<void(std::function<void()> done)> stop;
  /// False when the part has failed and is to be started again; empty for parts that cannot fail.
  std::function<bool()> healthy;
};

}  // namespace fireflyrun::node
