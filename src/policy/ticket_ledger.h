#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "common/clock.h"
#include "common/id128.h"
#include "policy/claim_result.h"
#include "policy/ticket.h"
#include "policy/ticket_ledger_limits.h"

namespace fireflyrun::policy {

/// Records, in the memory of one incarnation of a node, the state of each ticket issued for it, so
/// that a ticket's call starts at most once.
///
/// A ticket is claimed (its call may wait in the admission queue and may still be refused), then
/// either started or voided. A voided ticket has at most one successor, the first one proposed.
///
/// Windows bound the memory. The current window's number rises when the window's length has passed,
/// or earlier when it is three quarters full; the oldest windows are then forgotten. Entries are
/// only removed together with their whole window, and a full window accepts no further tickets. So
/// a ticket refused because its window was full can never run later.
class TicketLedger {
 public:
  TicketLedger(std::string own_node, std::uint64_t own_incarnation, TicketLedgerLimits bounds,
               SteadyTime start);

  /// The window for new tickets; other nodes learn it from the member entry.
  std::uint32_t CurrentWindow(SteadyTime now);
  /// A new ticket for this node itself.
  Ticket IssueOwn(SteadyTime now);

  /// `proposed_successor` takes effect if it is the first one proposed for this ticket.
  ClaimResult Claim(const Ticket& ticket, const std::optional<Ticket>& proposed_successor,
                    SteadyTime now);
  /// Must return true before the call is sent to the target. False: the call must not run (it was
  /// voided, already started, or forgotten).
  bool Start(const Ticket& ticket, SteadyTime now);
  /// Ensures, before a refusal is sent, that the ticket never runs. Takes effect on claimed tickets
  /// that were not started: the result is then kVoid with the successor in force, as for tickets
  /// voided before. Any other result is the ticket's actual state.
  ClaimResult Void(const Ticket& ticket, SteadyTime now);
  /// The started call ended with `answer` (serialized). Answers are retained within
  /// `TicketLedgerLimits::answer_bytes`; the oldest are dropped first.
  void Complete(const Ticket& ticket, std::shared_ptr<const std::string> answer);
  /// The outcome of the started call can't be determined. A later `Complete` replaces this state.
  void MarkOutcomeUnknown(const Ticket& ticket);

  /// The started call was never sent to the target: no byte of it left this node. Sets the ticket
  /// back to claimed, so that it may be voided. False if it was in any other state than started.
  bool WithdrawUnsent(const Ticket& ticket);
  std::size_t Entries() const;
  std::size_t RetainedAnswerBytes() const { return this->retained_bytes; }

 private:
  enum class EntryState { kClaimed, kStarted, kAnswered, kAnswerDropped, kUnknown, kVoid };
  struct Entry {
    EntryState state = EntryState::kClaimed;
    std::unique_ptr<Ticket> successor;
    std::shared_ptr<const std::string> answer;
  };
  using Window = std::unordered_map<Id128, Entry>;

  void Advance(SteadyTime now);
  void ForgetWindows();
  std::uint32_t OldestWindow() const;
  bool IsOwn(const Ticket& ticket) const;
  bool IsRemembered(const Ticket& ticket) const;
  Entry* Find(const Ticket& ticket);
  ClaimResult ClaimNew(const Ticket& ticket, const std::optional<Ticket>& proposed_successor);
  void DropOldAnswers();
  static void Propose(const std::optional<Ticket>& successor, Entry* entry);
  static ClaimResult Describe(const Entry& entry);

  std::string node;
  std::uint64_t incarnation;
  TicketLedgerLimits limits;
  SteadyTime window_start;
  std::uint32_t current_window = 1;
  std::map<std::uint32_t, Window> windows;
  /// Retained answers, oldest first: (window, nonce).
  std::deque<std::pair<std::uint32_t, Id128>> answer_order;
  std::size_t retained_bytes = 0;
};

}  // namespace fireflyrun::policy
