#pragma once

#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "policy/refusal_reason.h"

namespace fireflyrun {
class TimerService;
}
namespace fireflyrun::policy {
class TargetChooser;
}

namespace fireflyrun::node {

class AttemptSender;
class RetryBudgets;
class TargetDirectory;
struct OutboundCall;

/// The node's services that the dispatch of a call uses.
struct DispatchServices {
  /// The text of the ticket in force, or why it is unknown.
  using TicketHandler = std::function<void(tl::expected<std::string, policy::RefusalReason>)>;

  TimerService* timers = nullptr;
  TargetDirectory* directory = nullptr;
  policy::TargetChooser* chooser = nullptr;
  AttemptSender* sender = nullptr;
  RetryBudgets* budgets = nullptr;
  /// Binds (service, key) to a ticket in the store.
  std::function<void(const std::string& service, const std::string& key, std::string proposed,
                     TicketHandler)>
      bind_key;
  /// Moves a binding in the store from a voided ticket to its successor.
  std::function<void(const std::string& service, const std::string& key, std::string from,
                     std::string to, TicketHandler)>
      move_key;
  /// False while the node is stopping and the call might not end before it does.
  std::function<bool(const OutboundCall&)> may_start;
  /// Counts one retry or move of the call.
  std::function<void(const OutboundCall&, bool is_move)> count_repeat;
  /// Baseline for benchmarks: a fixed number of retries at each hop, regardless of the allotment.
  bool fixed_retries = false;
};

}  // namespace fireflyrun::node
