#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/finding.h"
#include "records/route_policy.h"

namespace fireflyrun::records {

class RecordBook;

/// The records in force, resolved for lookup by call. Immutable. Each name has the highest schema
/// that this build understands and that is not retired.
class Configuration {
 public:
  /// Never fails: an entry that cannot be used is left out and reported by Problems().
  static std::shared_ptr<const Configuration> Build(const RecordBook& book);

  std::int64_t Revision() const { return this->revision; }

  /// The policy of a call, or null for an unknown service. `path` is what follows the service's
  /// own path segment; a query is ignored. The longest matching path prefix wins, then a named
  /// method over "*". Does not allocate.
  const RoutePolicy* Find(std::string_view service, std::string_view method,
                          std::string_view path) const;

  /// Sorted.
  const std::vector<std::string>& ServiceNames() const { return this->service_names; }

  /// Entries left out, with their keys as places.
  const Findings& Problems() const { return this->problems; }

 private:
  friend class ConfigurationBuilder;

  struct Route {
    std::string method;  ///< "*" is any.
    std::string path;
    RoutePolicy policy;
  };

  struct Service {
    std::vector<Route> routes;  ///< In the order in which they are tried.
    RoutePolicy policy;         ///< For calls that no route matches.
  };

  struct NameHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view name) const {
      return std::hash<std::string_view>{}(name);
    }
  };

  std::int64_t revision = 0;
  std::unordered_map<std::string, Service, NameHash, std::equal_to<>> services;
  std::vector<std::string> service_names;
  Findings problems;
};

}  // namespace fireflyrun::records
