#pragma once

#include <string>

namespace fireflyrun::records {
struct CallPolicy;
}

namespace fireflyrun::node {

/// The name under which admission levels of a route are remembered: levels heard for one class of a
/// service say nothing about its other classes, whose calls may go deeper elsewhere.
std::string LevelKey(const records::CallPolicy& route);

}  // namespace fireflyrun::node
