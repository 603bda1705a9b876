#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "records/host_name.h"
#include "records/prefix_map.h"
#include "records/route_entry.h"

namespace fireflyrun::records {

/// Routes by host and path prefix. The cost of a lookup grows with the length of the host and the
/// path and with the logarithm of the number of routes.
class RouteTable {
 public:
  /// An empty host matches any host; one with a port matches that port only. Returns false if there
  /// already is an entry with the same host and prefix; nothing is added then.
  bool Add(std::string_view host, std::string_view prefix, RouteEntry entry);

  /// The route with the longest prefix of `path` among those of `host` with its port, else among
  /// those of `host` without a port, else among those of any host; null if there is none. Case, a
  /// dot at the end of the host's name and a query are ignored. Does not allocate.
  const RouteEntry* Find(std::string_view host, std::string_view path) const;

 private:
  using Ports = std::map<std::string, PrefixMap, std::less<>>;  ///< "" is any port.

  const RouteEntry* FindHost(const HostName& host, std::string_view path) const;

  std::unordered_map<std::string, Ports, HostNameHash, HostNameEqual> hosts;
};

}  // namespace fireflyrun::records
