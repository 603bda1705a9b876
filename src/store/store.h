#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "store/key_value.h"
#include "store/store_error.h"
#include "store/store_generation.h"
#include "store/transaction.h"

namespace fireflyrun::store {

/// Interface to the key-value service of the platform, limited to what the system needs. Adapters
/// hide the protocol of their service. Handlers run on the event loop, exactly once, never inside
/// the call that takes them.
///
/// A call fails with kUnknown if the store's generation changed while it was under way: what it
/// asked for was told in terms of the earlier one. A watch ends with kCompacted then.
class Store {
 public:
  template <typename Value>
  using Handler = std::function<void(tl::expected<Value, StoreError>)>;
  using WatchId = std::uint64_t;

  Store() = default;
  virtual ~Store() = default;
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /// Lists the keys that start with `prefix`, which may be a complete key.
  virtual void List(std::string prefix, Handler<Listing> handler) = 0;

  /// Atomic compare-and-swap of several keys.
  virtual void Commit(Transaction transaction, Handler<TransactionResult> handler) = 0;

  virtual void GrantLease(std::chrono::seconds time_to_live, Handler<LeaseId> handler) = 0;
  virtual void KeepLeaseAlive(LeaseId lease, Handler<std::chrono::seconds> handler) = 0;
  virtual void RevokeLease(LeaseId lease, Handler<LeaseId> handler) = 0;

  /// Reports every batch of changes below `prefix` from `first_revision` on, in order, until the
  /// watch fails or is cancelled. `on_end` runs once if the watch fails.
  virtual WatchId Watch(std::string prefix, Revision first_revision,
                        std::function<void(ChangeBatch)> on_changes,
                        std::function<void(StoreError)> on_end) = 0;
  virtual void CancelWatch(WatchId watch) = 0;

  /// The store's generation, and its changes.
  virtual StoreGeneration& Generation() { return *this->generation; }

 protected:
  /// Shared with calls under way, which may outlive the store.
  const std::shared_ptr<StoreGeneration>& SharedGeneration() const { return this->generation; }

 private:
  std::shared_ptr<StoreGeneration> generation = std::make_shared<StoreGeneration>();
};

}  // namespace fireflyrun::store
