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

/// Longest host name that a lookup considers; DNS allows no longer one.
inline constexpr std::size_t kMaxHostBytes = 253;

/// `host` in lower case and without port, as routes are told apart by it.
std::string NormalHost(std::string_view host);

/// Routes by host and path prefix. A lookup costs one hash of the host and at most one of the path
/// for each length that a prefix of this host has, so it does not grow with the number of routes.
class RouteTable {
 public:
  /// `prefix` ends with "/"; an empty host is any host. Returns whether the entry was added: false
  /// when there is one with the same host and prefix.
  bool Add(std::string_view host, std::string_view prefix, RouteEntry entry);

  /// The route with the longest prefix of `path` among those of `host`, else among those of any
  /// host; null if there is none. Case and port of the host, and a query, are ignored. Does not
  /// allocate.
  const RouteEntry* Find(std::string_view host, std::string_view path) const;

 private:
  struct PrefixGroup {
    std::size_t length = 0;  ///< Of each prefix in the group.
    std::unordered_map<std::string, RouteEntry, NameHash, std::equal_to<>> entries;
  };
  using Prefixes = std::vector<PrefixGroup>;  ///< Longest first.

  const RouteEntry* FindPrefix(std::string_view host, std::string_view path) const;

  std::unordered_map<std::string, Prefixes, NameHash, std::equal_to<>> hosts;
};

}  // namespace fireflyrun::records
