#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace fireflyrun::records {

inline constexpr std::int64_t kMinDeadlineMs = 10;
inline constexpr std::int64_t kMaxDeadlineMs = 600'000;
inline constexpr std::size_t kMaxPathBytes = 512;

/// True for a path that starts with "/", has at most 512 bytes, and fits into a request line
/// without a query or fragment.
inline bool IsAbsolutePath(std::string_view path) {
  if (!path.starts_with('/') || path.size() > kMaxPathBytes) return false;
  return std::all_of(path.begin(), path.end(),
                     [](char c) { return c > ' ' && c <= '~' && c != '?' && c != '#'; });
}

}  // namespace fireflyrun::records
