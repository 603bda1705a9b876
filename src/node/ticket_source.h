#pragma once

namespace fireflyrun::node {

/// Where the ticket of a non-idempotent call comes from.
enum class TicketSource {
  kNone,    ///< The call is idempotent.
  kCaller,  ///< The caller's key is itself a ticket.
  kStore,   ///< The caller's key is bound to a ticket in the store.
  kParent,  ///< The key is bound in the context of the parent call, which itself runs at most once.
  kFresh,   ///< No key: a new ticket that no other request uses.
};

}  // namespace fireflyrun::node
