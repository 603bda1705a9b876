#pragma once

#include <string>

namespace fireflyrun::store {

/// A node that new nodes and operators can contact first.
struct RosterEntry {
  std::string zone;
  std::string node;             ///< The node's name.
  std::string control_address;  ///< `IP:PORT` for other nodes.
  std::string admin_address;    ///< `IP:PORT` for operators.

  bool operator==(const RosterEntry&) const = default;
};

}  // namespace fireflyrun::store
