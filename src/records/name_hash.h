#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

namespace fireflyrun::records {

/// Transparent hash: an unordered map with string keys can be searched by string_view without an
/// allocation.
struct NameHash {
  using is_transparent = void;  // NOLINT(readability-identifier-naming)
  std::size_t operator()(std::string_view name) const {
    return std::hash<std::string_view>{}(name);
  }
};

}  // namespace fireflyrun::records
