#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "store/key_value.h"
#include "store/store_error.h"
#include "store/transaction.h"

namespace fireflyrun::store {

/// The platform's key-value service, as much of it as the system needs. Every adapter implements
/// this and lets nothing of its protocol through. Handlers run on the event loop, exactly once,
/// never inside the call that takes them.
class Store {
 public:
  template <typename Value>
  using Handler = std::function<void(tl::expected<Value, StoreError>)>;
  using WatchId = std::uint64_t;

  Store() = default;
  virtual ~Store() = default;
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /// Lists the keys that start with `prefix`; a whole key as prefix gets that key.
  virtual void List(std::string prefix, Handler<Listing> handler) = 0;

  /// Compare-and-swap of several keys at once.
  virtual void Commit(Transaction transaction, Handler<TransactionResult> handler) = 0;

  virtual void GrantLease(std::chrono::seconds time_to_live, Handler<LeaseId> handler) = 0;
  virtual void KeepLeaseAlive(LeaseId lease, Handler<std::chrono::seconds> handler) = 0;
  virtual void RevokeLease(LeaseId lease, Handler<LeaseId> handler) = 0;

  /// Reports every batch of changes below `prefix` from `first_revision` on, in order, until it
  /// fails or is cancelled. `on_end` runs once when it fails.
  virtual WatchId Watch(std::string prefix, Revision first_revision,
                        std::function<void(ChangeBatch)> on_changes,
                        std::function<void(StoreError)> on_end) = 0;
  virtual void CancelWatch(WatchId watch) = 0;
};

}  // namespace fireflyrun::store
