#include "records/host_name.h"

#include <algorithm>
#include <cstdint>

namespace fireflyrun::records {
namespace {

/// FNV-1a, 64 bits.
constexpr std::uint64_t kFnvOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

/// Where the port's colon is; the colons of an IPv6 address are inside brackets.
std::size_t FindPort(std::string_view host) {
  const std::size_t address_end = host.starts_with('[') ? host.find(']') : 0;
  return address_end == std::string_view::npos ? address_end : host.find(':', address_end);
}

}  // namespace

HostName SplitHost(std::string_view host) {
  const std::size_t colon = FindPort(host);
  HostName parts{host.substr(0, colon), {}};
  if (colon != std::string_view::npos) parts.port = host.substr(colon + 1);
  if (parts.name.size() > 1 && parts.name.ends_with('.')) parts.name.remove_suffix(1);
  return parts;
}

std::string NormalizeHost(std::string_view host) {
  const HostName parts = SplitHost(host);
  std::string normal(parts.name);
  if (!parts.port.empty()) normal.append(":").append(parts.port);
  std::ranges::transform(normal, normal.begin(), ToLower);
  return normal;
}

std::size_t HostNameHash::operator()(std::string_view name) const {
  std::uint64_t hash = kFnvOffsetBasis;
  for (const char c : name) {
    hash = (hash ^ static_cast<unsigned char>(ToLower(c))) * kFnvPrime;
  }
  return static_cast<std::size_t>(hash);
}

bool HostNameEqual::operator()(std::string_view left, std::string_view right) const {
  return std::ranges::equal(left, right, {}, ToLower, ToLower);
}

}  // namespace fireflyrun::records
