#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "common/timer_subscription.h"
#include "store/key_value.h"
#include "store/store_error.h"
#include "store/transaction.h"

namespace fireflyrun {
class Timers;
}

namespace fireflyrun::store {

class BindingLease;
class Store;

/// One operation on one key binding, retried until its outcome is known or no attempts are left.
/// Keeps itself alive until then. An empty ticket is none. If the store's generation changes
/// meanwhile, the outcome is unknown: the key may have been bound in the earlier one, and what was
/// written has no lease of its own.
class KeyBinding : public std::enable_shared_from_this<KeyBinding> {
 public:
  using Handler = std::function<void(tl::expected<std::string, StoreError>)>;

  KeyBinding(Store& key_value_store, Timers& timer_service,
             std::shared_ptr<BindingLease> binding_lease, std::string store_key,
             Handler end_handler);
  ~KeyBinding();
  KeyBinding(const KeyBinding&) = delete;
  KeyBinding& operator=(const KeyBinding&) = delete;

  /// Creates the binding unless the key is already bound. `on_foreign` runs, before the operation
  /// ends as unknown, if a later generation of the store may have taken the ticket: nobody may run
  /// the call under it, so it is to be withdrawn.
  void Create(std::string ticket, std::function<void()> on_foreign);

  /// Creates a binding that an earlier generation of the store had, unless the key is bound.
  void Restore(std::string ticket);

  /// Replaces the binding if the key is bound to `from_ticket`.
  void Replace(std::string from_ticket, std::string to_ticket);

 private:
  void Write();
  void OnLease(const tl::expected<LeaseId, StoreError>& granted);
  void OnWritten(LeaseId lease, tl::expected<TransactionResult, StoreError> result);
  void ReadBack();
  void OnRead(tl::expected<Listing, StoreError> result);
  void Decide(const KeyValue* current);
  void RetryLater();
  void Fail(StoreError error);
  void End(tl::expected<std::string, StoreError> result);

  Store& store;
  Timers& timers;
  std::shared_ptr<BindingLease> lease;
  std::string key;
  Handler on_end;
  std::string replaced_ticket;  ///< Empty for Create().
  std::string new_ticket;
  Revision expected_revision = 0;
  std::uint64_t generation = 0;  ///< Of the store, at the start.
  int attempts_left = 0;
  bool may_have_written = false;
  std::function<void()> on_foreign_generation;  ///< Set by Create() only.
  TimerSubscription retry_timer;
};

}  // namespace fireflyrun::store
