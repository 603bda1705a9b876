#include "policy/ticket_ledger.h"

#include <algorithm>
#include <utility>

namespace fireflyrun::policy {

TicketLedger::TicketLedger(std::string own_node, std::uint64_t own_incarnation,
                           TicketLedgerLimits bounds, SteadyTime start)
    : node(std::move(own_node)),
      incarnation(own_incarnation),
      limits(bounds),
      window_start(start) {}

std::uint32_t TicketLedger::CurrentWindow(SteadyTime now) {
  this->Advance(now);
  return this->current_window;
}

Ticket TicketLedger::IssueOwn(SteadyTime now) {
  return Ticket::Issue(this->node, this->incarnation, this->CurrentWindow(now));
}

ClaimResult TicketLedger::Claim(const Ticket& ticket,
                                const std::optional<Ticket>& proposed_successor, SteadyTime now) {
  this->Advance(now);
  if (!this->IsOwn(ticket)) return {.state = ClaimState::kWrongIncarnation};
  if (!this->IsRemembered(ticket)) return {.state = ClaimState::kForgotten};
  Entry* const entry = this->Find(ticket);
  if (entry == nullptr) return this->ClaimNew(ticket, proposed_successor);
  Propose(proposed_successor, entry);
  return Describe(*entry);
}

bool TicketLedger::Start(const Ticket& ticket, SteadyTime now) {
  this->Advance(now);
  Entry* const entry = this->Find(ticket);
  if (entry == nullptr || entry->state != EntryState::kClaimed) return false;
  entry->state = EntryState::kStarted;
  return true;
}

ClaimResult TicketLedger::Void(const Ticket& ticket, SteadyTime now) {
  ClaimResult claim = this->Claim(ticket, std::nullopt, now);
  Entry* const entry = this->Find(ticket);
  if (entry == nullptr) return claim;
  if (entry->state == EntryState::kClaimed) entry->state = EntryState::kVoid;
  return Describe(*entry);
}

void TicketLedger::Complete(const Ticket& ticket, std::shared_ptr<const std::string> answer) {
  Entry* const entry = this->Find(ticket);
  if (entry == nullptr) return;
  const bool was_started =
      entry->state == EntryState::kStarted || entry->state == EntryState::kUnknown;
  if (!was_started) return;
  if (answer == nullptr) {
    entry->state = EntryState::kAnswerDropped;
    return;
  }
  entry->state = EntryState::kAnswered;
  this->retained_bytes += answer->size();
  entry->answer = std::move(answer);
  this->answer_order.emplace_back(ticket.window, ticket.nonce);
  this->DropOldAnswers();
}

void TicketLedger::MarkOutcomeUnknown(const Ticket& ticket) {
  Entry* const entry = this->Find(ticket);
  if (entry == nullptr || entry->state != EntryState::kStarted) return;
  entry->state = EntryState::kUnknown;
}

bool TicketLedger::WithdrawUnsent(const Ticket& ticket) {
  Entry* const entry = this->Find(ticket);
  if (entry == nullptr || entry->state != EntryState::kStarted) return false;
  entry->state = EntryState::kClaimed;
  return true;
}

std::size_t TicketLedger::Entries() const {
  std::size_t total = 0;
  for (const auto& [number, window] : this->windows) total += window.size();
  return total;
}

void TicketLedger::Advance(SteadyTime now) {
  const auto passed = (now - this->window_start) / this->limits.window_length;
  if (passed > 0) {
    this->current_window += static_cast<std::uint32_t>(passed);
    this->window_start += passed * this->limits.window_length;
    this->ForgetWindows();
  }
  const auto window = this->windows.find(this->current_window);
  if (window == this->windows.end()) return;
  if (window->second.size() * 4 < this->limits.entries_per_window * 3) return;
  this->current_window += 1;
  this->window_start = now;
  this->ForgetWindows();
}

void TicketLedger::ForgetWindows() {
  const std::uint32_t oldest = this->OldestWindow();
  while (!this->windows.empty() && this->windows.begin()->first < oldest) {
    for (const auto& [nonce, entry] : this->windows.begin()->second) {
      if (entry.answer) this->retained_bytes -= entry.answer->size();
    }
    this->windows.erase(this->windows.begin());
  }
  std::erase_if(this->answer_order, [&](const auto& item) { return item.first < oldest; });
}

std::uint32_t TicketLedger::OldestWindow() const {
  const std::uint32_t older_windows =
      std::max<std::uint32_t>(this->limits.remembered_windows, 2) - 1;
  return this->current_window > older_windows ? this->current_window - older_windows : 0;
}

bool TicketLedger::IsOwn(const Ticket& ticket) const {
  return ticket.node == this->node && ticket.incarnation == this->incarnation;
}

bool TicketLedger::IsRemembered(const Ticket& ticket) const {
  return ticket.window >= this->OldestWindow() && ticket.window <= this->current_window;
}

TicketLedger::Entry* TicketLedger::Find(const Ticket& ticket) {
  if (!this->IsOwn(ticket) || !this->IsRemembered(ticket)) return nullptr;
  const auto window = this->windows.find(ticket.window);
  if (window == this->windows.end()) return nullptr;
  const auto entry = window->second.find(ticket.nonce);
  return entry == window->second.end() ? nullptr : &entry->second;
}

ClaimResult TicketLedger::ClaimNew(const Ticket& ticket,
                                   const std::optional<Ticket>& proposed_successor) {
  Window& window = this->windows[ticket.window];
  if (window.size() >= this->limits.entries_per_window) return {.state = ClaimState::kLedgerFull};
  Propose(proposed_successor, &window[ticket.nonce]);
  return {.state = ClaimState::kRun};
}

void TicketLedger::DropOldAnswers() {
  while (this->retained_bytes > this->limits.answer_bytes) {
    const auto [window, nonce] = this->answer_order.front();
    this->answer_order.pop_front();
    Entry& entry = this->windows.at(window).at(nonce);
    this->retained_bytes -= entry.answer->size();
    entry.answer.reset();
    entry.state = EntryState::kAnswerDropped;
  }
}

void TicketLedger::Propose(const std::optional<Ticket>& successor, Entry* entry) {
  if (!successor || entry->successor) return;
  entry->successor = std::make_unique<Ticket>(*successor);
}

ClaimResult TicketLedger::Describe(const Entry& entry) {
  switch (entry.state) {
    case EntryState::kClaimed:
    case EntryState::kStarted:
      return {.state = ClaimState::kRunning};
    case EntryState::kAnswered:
      return {.state = ClaimState::kAnswered, .answer = entry.answer};
    case EntryState::kAnswerDropped:
      return {.state = ClaimState::kRanAnswerDropped};
    case EntryState::kUnknown:
      return {.state = ClaimState::kOutcomeUnknown};
    case EntryState::kVoid:
      break;
  }
  ClaimResult result{.state = ClaimState::kVoid};
  if (entry.successor) result.successor = *entry.successor;
  return result;
}

}  // namespace fireflyrun::policy
