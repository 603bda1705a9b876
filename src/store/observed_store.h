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

/// Counts the calls to another store by kind and result, and tells when it is lost and regained.
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

  std::uint64_t Count(StoreCall call, StoreCallResult result) const;

 private:
  /// Outlives the store for handlers that come late.
  struct Observations {
    std::array<std::array<std::uint64_t, kStoreCallResults>, kStoreCalls> counts{};
    bool lost = false;
    SteadyTime heard_at = SteadyClock::now();

    void Note(StoreCall call, const StoreError* error);
  };

  template <typename Value>
  Handler<Value> Observe(StoreCall call, Handler<Value> handler) const;

  std::unique_ptr<Store> store;
  std::shared_ptr<Observations> observations;
};

}  // namespace fireflyrun::store
