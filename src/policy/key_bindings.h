#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

#include "policy/refusal_reason.h"
#include "policy/ticket.h"

namespace fireflyrun::policy {

/// In-memory map from keys to tickets, for the non-idempotent calls made for one parent call that
/// itself runs at most once.
class KeyBindings {
 public:
  explicit KeyBindings(std::size_t max_bindings) : capacity(max_bindings) {}

  /// Binds the key unless it is bound already; returns the ticket in force. Error: kKeyLimit.
  tl::expected<Ticket, RefusalReason> Bind(std::string_view service, std::string_view key,
                                           const Ticket& ticket);
  /// After `from` was voided: moves the binding to its successor if it still is `from`. Returns the
  /// ticket in force. Error: kKeyLimit if the key is not bound.
  tl::expected<Ticket, RefusalReason> Move(std::string_view service, std::string_view key,
                                           const Ticket& from, const Ticket& successor);
  std::size_t Size() const { return this->bindings.size(); }

 private:
  std::size_t capacity;
  std::map<std::pair<std::string, std::string>, Ticket> bindings;
};

}  // namespace fireflyrun::policy
