#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "store/store_error.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::store {

class Store;

/// How long a binding stands, unless the store loses it.
inline constexpr std::chrono::hours kBindingLifetime{24};

/// Binds callers' idempotency keys to tickets in the store, so that every node runs a key's call
/// under the same ticket. The bindings that a node makes in one hour share a lease, whose time to
/// live makes each of them last for at least kBindingLifetime; nothing prolongs it, so bindings do
/// not pile up while the node runs.
class KeyBinder {
 public:
  /// The ticket that stands after the call, or why it is not known.
  using Handler = std::function<void(tl::expected<std::string, StoreError>)>;

  KeyBinder(Store& store, TimerService& timers, std::string cluster);
  ~KeyBinder();
  KeyBinder(const KeyBinder&) = delete;
  KeyBinder& operator=(const KeyBinder&) = delete;

  /// Binds `key` to `proposed` unless it is bound already, and hands over the ticket that stands.
  /// kUnknown means that the binding may exist.
  void Bind(std::string_view service, std::string_view key, std::string proposed, Handler handler);

  /// Replaces `from_ticket` by `to_ticket` if the former stands, and hands over what stands then.
  void Replace(std::string_view service, std::string_view key, std::string from_ticket,
               std::string to_ticket, Handler handler);

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::store
