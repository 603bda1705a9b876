#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace fireflyrun::records {

inline constexpr std::int64_t kMinDeadlineMs = 10;
inline constexpr std::int64_t kMaxDeadlineMs = 600'000;
inline constexpr std::size_t kMaxPathBytes = 512;
/// Of a route's services; the sum of as many weights as a route may have is finite.
inline constexpr double kMaxWeight = 1e300;
inline constexpr std::size_t kMaxServicesOfRoute = 1000;
/// The same in the first schema of routes, whose weights are whole.
inline constexpr std::int64_t kMaxWholeWeight = 1000;
inline constexpr std::size_t kMaxServicesOfFirstSchema = 16;
/// The schema of routes from which on a weight may be any number.
inline constexpr int kAnyWeightSchema = 2;
/// The schema of routes from which on a prefix, a host and the number of services are bounded by
/// what a request or a record can hold.
inline constexpr int kAnyPrefixSchema = 3;
/// Of a route's prefix and host from that schema on; no head of a request is longer.
inline constexpr std::size_t kMaxRouteTextBytes = std::size_t{1} << 20;
/// Of a route from that schema on.
inline constexpr std::size_t kMaxServicesOfThirdSchema = 1'000'000;

/// True for a path that starts with "/", has at most 512 bytes, and fits into a request line
/// without a query or fragment.
inline bool IsAbsolutePath(std::string_view path) {
  if (!path.starts_with('/') || path.size() > kMaxPathBytes) return false;
  return std::all_of(path.begin(), path.end(),
                     [](char c) { return c > ' ' && c <= '~' && c != '?' && c != '#'; });
}

}  // namespace fireflyrun::records
