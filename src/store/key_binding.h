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
/// meanwhile, the outcome is unknown: the ticket may have been written in either generation, in the
/// later one under a lease that may be another node's.
class KeyBinding : public std::enable_shared_from_this<KeyBinding> {
 public:
  using Handler = std::function<void(tl::expected<std::string, StoreError>)>;

  KeyBinding(Store& key_value_store, Timers& timer_service,
             std::shared_ptr<BindingLease> binding_lease, std::string store_key,
             Handler end_handler);
  ~KeyBinding();
  KeyBinding(const KeyBinding&) = delete;
  KeyBinding& operator=(const KeyBinding&) = delete;

  /// Creates the binding unless the key is already bound.
  void Create(std::string ticket);

  /// Creates the binding unless the key is bound to another ticket. If it is bound to this one, it
  /// is written again, under a lease of this node.
  void CreateAgain(std::string ticket);

  /// Binds the key to a ticket that it had in an earlier generation, in place of any other one.
  void Restore(std::string ticket);

  /// Replaces the binding if the key is bound to `from_ticket`, which may be `to_ticket`: it is
  /// under a lease of this node then.
  void Replace(std::string from_ticket, std::string to_ticket);

 private:
  /// What may be overwritten, apart from no ticket at all.
  enum class Overwritten { kNothing, kOwnTicket, kReplacedTicket, kOtherTickets };

  void Begin(Overwritten what, std::string ticket);
  void LearnGeneration();
  bool HasGenerationChanged() const;
  bool MayOverwrite(const std::string& ticket) const;
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
  Overwritten overwritten = Overwritten::kNothing;
  std::string replaced_ticket;
  std::string new_ticket;
  Revision expected_revision = 0;
  std::uint64_t generation = 0;  ///< Of the store, when this operation first knew it.
  int attempts_left = 0;
  bool may_have_written = false;
  TimerSubscription retry_timer;
};

}  // namespace fireflyrun::store
