#pragma once

#include <optional>
#include <string>

namespace fireflyrun::records {

/// The settings of a service, from the records in force, that don't depend on the call.
struct ServicePolicy {
  bool by_path = true;  ///< False if it can be called only through route records.
  std::optional<std::string> health_path;
  std::optional<int> max_connections;  ///< To each of its targets, from all callers combined.
};

}  // namespace fireflyrun::records
