#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "records/name_hash.h"
#include "records/route_entry.h"

namespace fireflyrun::records {

/// Longest host name that a lookup considers; the limit of DNS.
inline constexpr std::size_t kMaxHostBytes = 253;

/// Returns `host` in lower case and without port, the form in which routes compare hosts.
std::string NormalizeHost(std::string_view host);

/// Routes by host and path prefix. A lookup hashes the host once, and the path at most once for
/// each distinct prefix length of the host, so its cost does not grow with the number of routes.
class RouteTable {
 public:
  /// `prefix` ends with "/"; an empty host matches any host. Returns false if there already is an
  /// entry with the same host and prefix; nothing is added then.
  bool Add(std::string_view host, std::string_view prefix, RouteEntry entry);

  /// The route with the longest prefix of `path` among those of `host`, else among those of any
  /// host; null if there is none. Case and port of the host, and a query, are ignored. Does not
  /// allocate.
  const RouteEntry* Find(std::string_view host, std::string_view path) const;

 private:
  struct PrefixGroup {
    std::size_t length = 0;  ///< Length of each prefix in the group, in bytes.
    std::unordered_map<std::string, RouteEntry, NameHash, std::equal_to<>> entries;
  };
  using Prefixes = std::vector<PrefixGroup>;  ///< Longest first.

  const RouteEntry* FindPrefix(std::string_view host, std::string_view path) const;

  std::unordered_map<std::string, Prefixes, NameHash, std::equal_to<>> hosts;
};

}  // namespace fireflyrun::records
