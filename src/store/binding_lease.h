#pragma once

#include <functional>
#include <memory>
#include <tl/expected.hpp>
#include <vector>

#include "common/clock.h"
#include "store/key_value.h"
#include "store/store_error.h"
#include "store/store_generation.h"

namespace fireflyrun {
class Timers;
}

namespace fireflyrun::store {

class Store;

/// The lease attached to new key bindings; replaced hourly, and when the store's generation
/// changes.
class BindingLease : public std::enable_shared_from_this<BindingLease> {
 public:
  using Handler = std::function<void(tl::expected<LeaseId, StoreError>)>;

  BindingLease(Store& key_value_store, Timers& time_source);

  /// Passes a lease granted within the last hour to `handler`, requesting a new one from the store
  /// if needed, and once more if it has waited for long. The handler may run inside the call.
  void Get(Handler handler);

  /// Discards `expired`, a lease that the store no longer knows.
  void Discard(LeaseId expired);

  /// Drops the pending handlers without running them.
  void DropHandlers() { this->pending.clear(); }

 private:
  void Request(SteadyTime now);
  void OnGranted(SteadyTime sent_at, const tl::expected<LeaseId, StoreError>& granted);

  Store& store;
  Timers& timers;
  LeaseId lease = 0;
  SteadyTime granted_at;
  std::vector<Handler> pending;
  int open_requests = 0;
  SteadyTime requested_at;  ///< The last of them.
  StoreGeneration::Subscription generation_subscription;
};

}  // namespace fireflyrun::store
