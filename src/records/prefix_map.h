#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "records/route_entry.h"

namespace fireflyrun::records {

/// Route entries by path prefix. A lookup makes one search among the sorted prefixes and compares
/// the path with one of them; its cost doesn't grow with the number of different lengths.
class PrefixMap {
 public:
  PrefixMap() = default;
  ~PrefixMap() = default;
  PrefixMap(const PrefixMap&) = delete;
  PrefixMap& operator=(const PrefixMap&) = delete;

  /// Returns false if there already is an entry with this prefix; nothing is added then.
  bool Add(std::string_view prefix, RouteEntry entry);

  /// The entry with the longest prefix that begins `path`; null if there is none. Does not
  /// allocate.
  const RouteEntry* Find(std::string_view path) const;

 private:
  struct Node {
    RouteEntry entry;
    std::size_t length = 0;       ///< Of the prefix, in bytes.
    const Node* outer = nullptr;  ///< The longest other prefix that begins this one.
  };

  const Node* FindNode(std::string_view path) const;

  std::map<std::string, Node, std::less<>> nodes;
};

}  // namespace fireflyrun::records
