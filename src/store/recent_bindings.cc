#include "store/recent_bindings.h"

#include <utility>

namespace fireflyrun::store {

void RecentBindings::Add(Binding binding) {
  const auto known = this->by_key.find(binding.store_key);
  if (known != this->by_key.end()) this->bindings.erase(known->second);
  const SteadyTime now = binding.seen_at;
  this->bindings.push_back(std::move(binding));
  this->by_key[this->bindings.back().store_key] = std::prev(this->bindings.end());
  this->DropOld(now);
}

std::optional<RecentBindings::Binding> RecentBindings::Find(const std::string& store_key,
                                                            SteadyTime now) {
  this->DropOld(now);
  const auto known = this->by_key.find(store_key);
  if (known == this->by_key.end()) return std::nullopt;
  return *known->second;
}

std::vector<RecentBindings::Binding> RecentBindings::All(SteadyTime now) {
  this->DropOld(now);
  return {this->bindings.begin(), this->bindings.end()};
}

void RecentBindings::DropOld(SteadyTime now) {
  while (!this->bindings.empty()) {
    const Binding& oldest = this->bindings.front();
    const bool is_old = now - oldest.seen_at > kKeptTime;
    if (!is_old && this->bindings.size() <= kMostKept) return;
    this->by_key.erase(oldest.store_key);
    this->bindings.pop_front();
  }
}

}  // namespace fireflyrun::store
