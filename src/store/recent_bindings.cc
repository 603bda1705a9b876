#include "store/recent_bindings.h"

namespace fireflyrun::store {

void RecentBindings::Add(const std::string& store_key, const std::string& ticket, SteadyTime now) {
  const auto known = this->by_key.find(store_key);
  if (known != this->by_key.end()) this->bindings.erase(known->second);
  this->bindings.push_back({store_key, ticket, now});
  this->by_key[store_key] = std::prev(this->bindings.end());
  this->DropOld(now);
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
