#include "records/route_table.h"

#include <algorithm>
#include <array>
#include <utility>

namespace fireflyrun::records {
namespace {

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

/// Removes the port; the colons of an IPv6 address are inside brackets.
std::string_view WithoutPort(std::string_view host) {
  const std::size_t address_end = host.starts_with('[') ? host.find(']') : 0;
  if (address_end == std::string_view::npos) return host;
  return host.substr(0, host.find(':', address_end));
}

}  // namespace

std::string NormalizeHost(std::string_view host) {
  std::string normal(WithoutPort(host));
  std::transform(normal.begin(), normal.end(), normal.begin(), ToLower);
  return normal;
}

bool RouteTable::Add(std::string_view host, std::string_view prefix, RouteEntry entry) {
  Prefixes& prefixes = this->hosts[NormalizeHost(host)];
  auto group = std::find_if(prefixes.begin(), prefixes.end(), [&](const PrefixGroup& other) {
    return other.length <= prefix.size();
  });
  if (group == prefixes.end() || group->length != prefix.size()) {
    group = prefixes.insert(group, PrefixGroup{prefix.size(), {}});
  }
  return group->entries.emplace(prefix, std::move(entry)).second;
}

const RouteEntry* RouteTable::Find(std::string_view host, std::string_view path) const {
  path = path.substr(0, path.find('?'));
  host = WithoutPort(host);
  if (!host.empty() && host.size() <= kMaxHostBytes) {
    std::array<char, kMaxHostBytes> lower_host{};
    std::transform(host.begin(), host.end(), lower_host.begin(), ToLower);
    const auto* found = this->FindPrefix({lower_host.data(), host.size()}, path);
    if (found != nullptr) return found;
  }
  return this->FindPrefix({}, path);
}

const RouteEntry* RouteTable::FindPrefix(std::string_view host, std::string_view path) const {
  const auto prefixes = this->hosts.find(host);
  if (prefixes == this->hosts.end()) return nullptr;
  for (const PrefixGroup& group : prefixes->second) {
    if (group.length > path.size() || path[group.length - 1] != '/') continue;
    const auto found = group.entries.find(path.substr(0, group.length));
    if (found != group.entries.end()) return &found->second;
  }
  return nullptr;
}

}  // namespace fireflyrun::records
