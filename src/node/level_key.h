#pragma once

#include <string>

namespace fireflyrun::records {
struct CallPolicy;
}

namespace fireflyrun::node {

/// The key under which a route's admission levels are stored. Levels reported for one class of a
/// service do not apply to its other classes, whose child calls may go to other services.
std::string LevelKey(const records::CallPolicy& route);

}  // namespace fireflyrun::node
