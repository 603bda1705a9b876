#pragma once

#include <optional>
#include <string>

namespace fireflyrun::records {

/// What the records in force say about a service as a whole.
struct ServicePolicy {
  bool by_path = true;  ///< False: only route records lead to it.
  std::optional<std::string> health_path;
  std::optional<int> max_connections;  ///< To each of its targets, from all callers combined.
};

}  // namespace fireflyrun::records
