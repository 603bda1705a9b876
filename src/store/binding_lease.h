#pragma once

#include <functional>
#include <memory>
#include <tl/expected.hpp>
#include <vector>

#include "common/clock.h"
#include "store/key_value.h"
#include "store/store_error.h"

namespace fireflyrun::store {

class Store;

/// The lease that new key bindings get, replaced hourly.
class BindingLease : public std::enable_shared_from_this<BindingLease> {
 public:
  using Handler = std::function<void(tl::expected<LeaseId, StoreError>)>;

  explicit BindingLease(Store& key_value_store) : store(key_value_store) {}

  /// Hands over a lease that is fresh enough, asking the store for one if need be. The handler may
  /// run at once.
  void Get(Handler handler);

  /// Forgets `lapsed`, which the store does not know any more.
  void Forget(LeaseId lapsed);

  /// Drops the handlers that wait.
  void Abandon() { this->waiting.clear(); }

 private:
  void OnGranted(SteadyTime asked, const tl::expected<LeaseId, StoreError>& granted);

  Store& store;
  LeaseId lease = 0;
  SteadyTime granted_at;
  std::vector<Handler> waiting;
};

}  // namespace fireflyrun::store
