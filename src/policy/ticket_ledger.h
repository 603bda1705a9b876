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

/// Keeps, in the memory of one incarnation of a node, what became of each ticket issued for it, so
/// that a ticket's call is started at most once.
///
/// A ticket is claimed (its call may wait in the admission queue and may still be refused), then
/// either started or voided. A voided ticket has at most one successor, the first that was
/// proposed.
///
/// Memory is bounded by windows. The current window's number rises when its length has passed, or
/// earlier when it is three quarters full; the oldest windows are then forgotten. No entry leaves a
/// window before the whole window is forgotten, and a window that was full stays closed to tickets
/// it does not hold. So a ticket refused for want of room can never run later.
class TicketLedger {
 public:
  TicketLedger(std::string own_node, std::uint64_t own_incarnation, TicketLedgerLimits bounds,
               SteadyTime start);

  /// The window in which new tickets are to be minted; told to others with the member entry.
  std::uint32_t CurrentWindow(SteadyTime now);
  /// A new ticket for this node itself.
  Ticket IssueOwn(SteadyTime now);

  /// `proposed_successor` stands if it is the first one proposed for this ticket.
  ClaimResult Claim(const Ticket& ticket, const std::optional<Ticket>& proposed_successor,
                    SteadyTime now);
  /// Must return true before the call is handed to the target. False: it must not run (it was
  /// voided, started before, or forgotten).
  bool Start(const Ticket& ticket, SteadyTime now);
  /// Before a refusal is sent: makes sure that the ticket never runs. Allowed for claimed tickets
  /// that were not started (and has no further effect on voided ones): the result is then kVoid
  /// with the successor that stands. Any other result says what the ticket's state is instead.
  ClaimResult Void(const Ticket& ticket, SteadyTime now);
  /// The started call ended with `answer` (serialized). The answer is retained while memory allows;
  /// the oldest answers are dropped first.
  void Complete(const Ticket& ticket, std::shared_ptr<const std::string> answer);
  /// The started call's outcome cannot be known. A later `Complete` replaces it.
  void MarkOutcomeUnknown(const Ticket& ticket);

  /// The started call was never handed to the target: nothing of it left this node. The ticket is
  /// claimed again and may be voided. False for any other state.
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
  /// Retained answers by age: (window, nonce).
  std::deque<std::pair<std::uint32_t, Id128>> answer_order;
  std::size_t retained_bytes = 0;
};

}  // namespace fireflyrun::policy
