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
#include "records/book_revision.h"
#include "records/call_policy.h"
#include "records/caller_limits.h"
#include "records/name_hash.h"
#include "records/route_table.h"
#include "records/service_policy.h"

namespace fireflyrun::records {

class RecordBook;

/// The records in force, resolved for lookup by call. Immutable. Of each name it uses the highest
/// schema that this build supports and that is not retired.
class Configuration {
 public:
  /// Never fails: unusable entries are reported by Problems(). Calls of an unusable route are
  /// refused; other entries are left out.
  static std::shared_ptr<const Configuration> Build(const RecordBook& book);

  const BookRevision& Revision() const { return this->revision; }
  SteadyTime BuiltAt() const { return this->built_at; }

  /// The policy of a call by service name. Null if the service is unknown, or reachable only
  /// through route records. `path` is the part after the service's own path segment; a query is
  /// ignored. The longest matching path prefix wins, then a named method over "*". Does not
  /// allocate.
  const CallPolicy* FindCallPolicy(std::string_view service, std::string_view method,
                                   std::string_view path) const;

  /// The route record of a call, or null. The longest prefix among the routes of the host wins;
  /// routes without a host are tried after those. Case and port of the host and a query are
  /// ignored; the path is compared byte for byte. Does not allocate.
  const RouteEntry* FindRoute(std::string_view host, std::string_view path) const {
    return this->routes.Find(host, path);
  }

  /// Null for an unknown service.
  const ServicePolicy* FindServicePolicy(std::string_view service) const;

  /// Limits on callers' requests.
  const CallerLimits& Limits() const { return this->limits; }

  /// Sorted.
  const std::vector<std::string>& ServiceNames() const { return this->service_names; }

  /// Why entries were left out, or refuse their calls; each finding's place is the entry's key.
  const Findings& Problems() const { return this->problems; }

 private:
  friend class ConfigurationBuilder;

  struct Route {
    std::string method;  ///< "*" is any.
    std::string path;
    CallPolicy policy;
  };

  struct Service {
    std::vector<Route> routes;     ///< In matching order.
    CallPolicy policy;             ///< For calls that no route matches.
    ServicePolicy service_policy;  ///< Settings that don't depend on the call.
  };

  BookRevision revision;
  SteadyTime built_at;
  std::unordered_map<std::string, Service, NameHash, std::equal_to<>> services;
  std::vector<std::string> service_names;
  RouteTable routes;
  CallerLimits limits;
  Findings problems;
};

}  // namespace fireflyrun::records
