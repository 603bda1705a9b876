#pragma once

namespace fireflyrun::membership {

/// The order in which queued message parts are sent, and whether they wait for the byte budget.
enum class SendPriority {
  kUrgent,  ///< Pings, acks and accusations: small, sent regardless of the budget.
  kUpdate,  ///< Updates, requests and replies.
  kBulk,    ///< Anti-entropy and transfers; leave part of the budget to updates.
};

}  // namespace fireflyrun::membership
