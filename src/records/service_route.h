#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace fireflyrun::records {

/// Overrides for some calls of a service, selected by method and path. Unset fields keep the
/// service's values.
struct ServiceRoute {
  std::string method;  ///< An HTTP method, or "*" for any.
  std::string path;    ///< Prefix at segment boundaries, below the service's own path segment.
  std::optional<std::string> priority;
  std::optional<bool> idempotent;
  std::optional<std::chrono::milliseconds> deadline;
};

}  // namespace fireflyrun::records
