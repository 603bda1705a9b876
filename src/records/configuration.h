#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/finding.h"
#include "records/call_policy.h"
#include "records/caller_limits.h"
#include "records/name_hash.h"
#include "records/route_table.h"
#include "records/service_policy.h"

namespace fireflyrun::records {

class RecordBook;

/// The records in force, resolved for lookup by call. Immutable. Each name has the highest schema
/// that this build understands and that is not retired.
class Configuration {
 public:
  /// Never fails: an entry that cannot be used is left out and reported by Problems().
  static std::shared_ptr<const Configuration> Build(const RecordBook& book);

  std::int64_t Revision() const { return this->revision; }
  SteadyTime BuiltAt() const { return this->built_at; }

  /// The policy of a call by service name, or null for a service that is unknown or that only route
  /// records lead to. `path` is what follows the service's own path segment; a query is ignored.
  /// The longest matching path prefix wins, then a named method over "*". Does not allocate.
  const CallPolicy* FindCallPolicy(std::string_view service, std::string_view method,
                                   std::string_view path) const;

  /// The route record of a call, or null. Among the routes of the host the longest prefix wins;
  /// those without a host are tried after them. Case and port of the host and a query are ignored;
  /// the path is compared byte for byte. Does not allocate.
  const RouteEntry* FindRoute(std::string_view host, std::string_view path) const {
    return this->routes.Find(host, path);
  }

  /// Null for an unknown service.
  const ServicePolicy* FindServicePolicy(std::string_view service) const;

  /// What callers may send.
  const CallerLimits& Limits() const { return this->limits; }

  /// Sorted.
  const std::vector<std::string>& ServiceNames() const { return this->service_names; }

  /// Entries left out, with their keys as places.
  const Findings& Problems() const { return this->problems; }

 private:
  friend class ConfigurationBuilder;

  struct Route {
    std::string method;  ///< "*" is any.
    std::string path;
    CallPolicy policy;
  };

  struct Service {
    std::vector<Route> routes;  ///< In the order in which they are tried.
    CallPolicy policy;          ///< For calls that no route matches.
    ServicePolicy whole;        ///< What does not depend on the call.
  };

  std::int64_t revision = 0;
  SteadyTime built_at;
  std::unordered_map<std::string, Service, NameHash, std::equal_to<>> services;
  std::vector<std::string> service_names;
  RouteTable routes;
  CallerLimits limits;
  Findings problems;
};

}  // namespace fireflyrun::records
