#include "store/store_generation.h"

#include <utility>

namespace fireflyrun::store {

StoreGeneration::Subscription StoreGeneration::OnChange(Hook hook) {
  std::erase_if(this->hooks, [](const auto& known) { return known.expired(); });
  auto subscription = std::make_shared<const Hook>(std::move(hook));
  this->hooks.push_back(subscription);
  return subscription;
}

void StoreGeneration::Observe(std::uint64_t observed) {
  if (observed <= this->number) return;
  const GenerationChange change{std::exchange(this->number, observed), observed};
  if (change.from == 0) return;
  const auto present = this->hooks;
  for (const auto& weak : present) {
    if (const Subscription hook = weak.lock()) (*hook)(change);
  }
}

}  // namespace fireflyrun::store
