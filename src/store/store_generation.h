#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace fireflyrun::store {

/// The store began another generation.
struct GenerationChange {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
};

/// Which generation of the store answers. A store that comes back from an older copy has lost what
/// it acknowledged since, and gives revisions and lease ids out again: it begins a new generation,
/// and revisions and leases of an earlier one mean nothing in it.
///
/// A store's client tells the generation of each answer; users of the store are told of changes.
class StoreGeneration {
 public:
  using Hook = std::function<void(const GenerationChange&)>;
  /// Keeps a hook for as long as it lives.
  using Subscription = std::shared_ptr<const Hook>;

  StoreGeneration() = default;
  StoreGeneration(const StoreGeneration&) = delete;
  StoreGeneration& operator=(const StoreGeneration&) = delete;

  /// 0 until an answer has told it. A store that never tells it has one generation for ever.
  std::uint64_t Number() const { return this->number; }

  /// Runs `hook` on the event loop at each change. It may drop its own subscription and others.
  [[nodiscard]] Subscription OnChange(Hook hook);

  /// For the store's client: an answer of this generation came. A number that isn't higher than
  /// before changes nothing, and the first one is no change.
  void Observe(std::uint64_t observed);

 private:
  std::uint64_t number = 0;
  std::vector<std::weak_ptr<const Hook>> hooks;
};

}  // namespace fireflyrun::store
