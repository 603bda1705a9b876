#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "common/clock.h"
#include "store/store_error.h"

namespace fireflyrun {
class Timers;
}

namespace fireflyrun::store {

class Store;

/// Minimum lifetime of a binding, unless the store loses it.
inline constexpr std::chrono::hours kBindingLifetime{24};

/// Binds callers' idempotency keys to tickets in the store, so that every node runs the call of a
/// key under the same ticket. The bindings that a node makes within one hour share a lease whose
/// time to live keeps each of them for at least kBindingLifetime. The lease is never renewed, so
/// bindings do not accumulate while the node runs.
///
/// When the store comes back from an older copy, each node restores the bindings that it made or
/// read in the last minute, in place of any other ticket, and none binds a key before the settle
/// time has passed. What is under way is done again then. A binding is lost, and its key may get a
/// second ticket, only if all nodes that knew it are gone, are cut off from the store for the
/// settle time, or learn of the return that much later than others.
class KeyBinder {
 public:
  /// Receives the ticket bound after the call, or the reason why it is not known.
  using Handler = std::function<void(tl::expected<std::string, StoreError>)>;

  /// From a node's learning of the store's return until it binds keys again.
  static constexpr Duration kSettleTime = std::chrono::seconds(3);

  KeyBinder(Store& store, Timers& timers, std::string cluster, Duration settle_time = kSettleTime);
  ~KeyBinder();
  KeyBinder(const KeyBinder&) = delete;
  KeyBinder& operator=(const KeyBinder&) = delete;

  /// Binds `key` to `proposed` unless it is already bound, and reports the bound ticket. kUnknown
  /// means that the binding may exist. Waits for the settle time of each return of the store that
  /// it meets, and after the start of this node.
  void Bind(std::string_view service, std::string_view key, std::string proposed, Handler handler);

  /// Replaces `from_ticket` by `to_ticket` if the key is bound to the former, and reports the
  /// ticket bound afterwards.
  void Replace(std::string_view service, std::string_view key, std::string from_ticket,
               std::string to_ticket, Handler handler);

 private:
  struct Request;
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::store
