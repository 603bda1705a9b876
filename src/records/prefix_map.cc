#include "records/prefix_map.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fireflyrun::records {

bool PrefixMap::Add(std::string_view prefix, RouteEntry entry) {
  const Node* outer = this->FindNode(prefix);
  const auto [added, is_new] = this->nodes.try_emplace(std::string(prefix));
  if (!is_new) return false;
  added->second = Node{std::move(entry), prefix.size(), outer};
  for (auto next = std::next(added); next != this->nodes.end() && next->first.starts_with(prefix);
       ++next) {
    if (next->second.outer == outer) next->second.outer = &added->second;
  }
  return true;
}

const RouteEntry* PrefixMap::Find(std::string_view path) const {
  const Node* node = this->FindNode(path);
  return node == nullptr ? nullptr : &node->entry;
}

const PrefixMap::Node* PrefixMap::FindNode(std::string_view path) const {
  // All prefixes sorted between a prefix of the path and the path itself begin with that prefix, so
  // the last one before the path either begins it or leads to the one that does.
  const auto next = this->nodes.upper_bound(path);
  if (next == this->nodes.begin()) return nullptr;
  const auto& [prefix, last] = *std::prev(next);
  const auto [difference, unused] = std::ranges::mismatch(prefix, path);
  const auto common = static_cast<std::size_t>(difference - prefix.begin());
  const Node* node = &last;
  while (node != nullptr && node->length > common) node = node->outer;
  return node;
}

}  // namespace fireflyrun::records
