#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/clock.h"
#include "store/store.h"
#include "store/store_call.h"

namespace fireflyrun::store {

/// Counts the calls to another store by kind and result, and logs when the store becomes
/// unreachable and reachable again, and when its generation changes.
class ObservedStore : public Store {
 public:
  explicit ObservedStore(std::unique_ptr<Store> observed_store);
  ~ObservedStore() override;

  void List(std::string prefix, Handler<Listing> handler) override;
  void Commit(Transaction transaction, Handler<TransactionResult> handler) override;
  void GrantLease(std::chrono::seconds time_to_live, Handler<LeaseId> handler) override;
  void KeepLeaseAlive(LeaseId lease, Handler<std::chrono::seconds> handler) override;
  void RevokeLease(LeaseId lease, Handler<LeaseId> handler) override;
  WatchId Watch(std::string prefix, Revision first_revision,
                std::function<void(ChangeBatch)> on_changes,
                std::function<void(StoreError)> on_end) override;
  void CancelWatch(WatchId watch) override;
  StoreGeneration& Generation() override { return this->store->Generation(); }

  std::uint64_t Count(StoreCall call, StoreCallResult result) const;
  /// How often the store came back from an older copy.
  std::uint64_t GenerationChanges() const { return this->generation_changes; }

 private:
  /// Shared with pending handlers, which may run after the store is destroyed.
  struct Observations {
    std::array<std::array<std::uint64_t, kStoreCallResultCount>, kStoreCallCount> counts{};
    bool lost = false;
    SteadyTime last_response = SteadyClock::now();

    void Record(StoreCall call, const StoreError* error);
  };

  template <typename Value>
  Handler<Value> Observe(StoreCall call, Handler<Value> handler) const;

  std::unique_ptr<Store> store;
  std::shared_ptr<Observations> observations;
  std::uint64_t generation_changes = 0;
  StoreGeneration::Subscription generation_subscription;
};

}  // namespace fireflyrun::store
