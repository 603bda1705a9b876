#include "policy/ticket_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <vector>

#include "tests/policy/fake_target.h"

namespace fireflyrun::policy {
namespace {

constexpr std::uint64_t kIncarnation = 9;

std::shared_ptr<const std::string> AnswerOfSize(std::size_t size) {
  return std::make_shared<const std::string>(size, 'x');
}

/// Tracks what the ledger has reported about each ticket and checks every new result against it.
class LedgerModel {
 public:
  static constexpr std::size_t kTickets = 12;
  static constexpr std::size_t kEntriesPerWindow = 4;
  static constexpr std::uint32_t kWindows = 3;
  static constexpr std::size_t kAnswerBytes = 20;

  void Step() {
    if (*rc::gen::inRange(0, 10) == 0) this->seconds += *rc::gen::inRange(0, 40);
    const auto index = *rc::gen::inRange<std::size_t>(0, kTickets);
    TicketRecord& record = this->RecordAt(index);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1:
        return this->Check(&record,
                           this->ledger.Claim(record.ticket, this->RandomSuccessor(), this->Now()));
      case 2:
        return this->Start(&record);
      case 3:
        return this->Check(&record, this->ledger.Void(record.ticket, this->Now()));
      case 4:
        return this->ledger.Complete(record.ticket,
                                     AnswerOfSize(*rc::gen::inRange<std::size_t>(0, 15)));
      default:
        return this->ledger.MarkOutcomeUnknown(record.ticket);
    }
  }

  void CheckBounds() {
    RC_ASSERT(this->ledger.Entries() <= kEntriesPerWindow * kWindows);
    RC_ASSERT(this->ledger.RetainedAnswerBytes() <= kAnswerBytes);
  }

 private:
  struct TicketRecord {
    Ticket ticket;
    int starts = 0;
    bool reported_not_run = false;
    std::optional<Ticket> successor;
  };

  SteadyTime Now() const { return AtSeconds(this->seconds); }

  TicketRecord& RecordAt(std::size_t index) {
    if (index >= this->records.size()) {
      Ticket ticket = this->ledger.IssueOwn(this->Now());
      ticket.window += *rc::gen::inRange(0, 2);
      this->records.push_back({ticket, 0, false, std::nullopt});
      return this->records.back();
    }
    return this->records[index];
  }

  static std::optional<Ticket> RandomSuccessor() {
    if (*rc::gen::arbitrary<bool>()) return std::nullopt;
    return Ticket::Issue("other", 1, 1);
  }

  void Start(TicketRecord* record) {
    if (!this->ledger.Start(record->ticket, this->Now())) return;
    record->starts += 1;
    RC_ASSERT(record->starts == 1);
    RC_ASSERT(!record->reported_not_run);
  }

  static void Check(TicketRecord* record, const ClaimResult& result) {
    const bool not_run =
        result.state == ClaimState::kVoid || result.state == ClaimState::kLedgerFull;
    if (not_run) {
      RC_ASSERT(record->starts == 0);
      record->reported_not_run = true;
    }
    if (result.state == ClaimState::kRun)
      RC_ASSERT(!record->reported_not_run && record->starts == 0);
    if (!result.successor) return;
    RC_ASSERT(result.state == ClaimState::kVoid);
    // RC_ASSERT evaluates both sides of an operator, so it must not guard the access to an
    // optional.
    if (!record->successor) record->successor = result.successor;
    RC_ASSERT(*record->successor == *result.successor);
  }

  TicketLedger ledger{"me",
                      kIncarnation,
                      {.window_length = std::chrono::seconds(60),
                       .remembered_windows = kWindows,
                       .entries_per_window = kEntriesPerWindow,
                       .answer_bytes = kAnswerBytes},
                      AtSeconds(0)};
  std::vector<TicketRecord> records;
  double seconds = 0;
};

RC_GTEST_PROP(TicketLedgerTest, StartsATicketAtMostOnceAndNeverAfterReportingItNotRun, ()) {
  LedgerModel model;
  const int steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    model.Step();
    model.CheckBounds();
  }
}

class TicketLedgerCaseTest : public testing::Test {
 protected:
  ClaimState ClaimAt(const Ticket& claimed, double at = 0) {
    return this->ledger.Claim(claimed, std::nullopt, AtSeconds(at)).state;
  }

  TicketLedger ledger{
      "me", kIncarnation, {.entries_per_window = 8, .answer_bytes = 10}, AtSeconds(0)};
  Ticket ticket = ledger.IssueOwn(AtSeconds(0));
};

TEST_F(TicketLedgerCaseTest, CallRunsOnceAndItsAnswerIsReturnedAgain) {
  EXPECT_EQ(this->ClaimAt(this->ticket), ClaimState::kRun);
  EXPECT_EQ(this->ClaimAt(this->ticket), ClaimState::kRunning);
  EXPECT_TRUE(this->ledger.Start(this->ticket, AtSeconds(0)));
  EXPECT_FALSE(this->ledger.Start(this->ticket, AtSeconds(0)));
  EXPECT_EQ(this->ledger.Void(this->ticket, AtSeconds(0)).state, ClaimState::kRunning);
  this->ledger.MarkOutcomeUnknown(this->ticket);
  EXPECT_EQ(this->ClaimAt(this->ticket), ClaimState::kOutcomeUnknown);
  const auto answer = AnswerOfSize(6);
  this->ledger.Complete(this->ticket, answer);
  EXPECT_EQ(this->ledger.Claim(this->ticket, {}, AtSeconds(1)).answer, answer);
  const Ticket second = this->ledger.IssueOwn(AtSeconds(1));
  this->ClaimAt(second, 1);
  this->ledger.Start(second, AtSeconds(1));
  this->ledger.Complete(second, AnswerOfSize(6));
  EXPECT_EQ(this->ClaimAt(this->ticket, 1), ClaimState::kRanAnswerDropped);
  EXPECT_EQ(this->ClaimAt(second, 1), ClaimState::kAnswered);
}

TEST_F(TicketLedgerCaseTest, VoidTicketKeepsTheFirstSuccessor) {
  const Ticket first = Ticket::Issue("b", 1, 1);
  const Ticket second = Ticket::Issue("c", 1, 1);
  this->ledger.Claim(this->ticket, first, AtSeconds(0));
  this->ledger.Claim(this->ticket, second, AtSeconds(0));
  EXPECT_EQ(this->ledger.Void(this->ticket, AtSeconds(0)).successor, first);
  EXPECT_EQ(this->ledger.Claim(this->ticket, second, AtSeconds(0)).successor, first);
  EXPECT_FALSE(this->ledger.Start(this->ticket, AtSeconds(0)));
}

TEST_F(TicketLedgerCaseTest, TicketsOfOtherIncarnationsAndWindowsNeverRun) {
  Ticket other = this->ticket;
  other.incarnation += 1;
  EXPECT_EQ(this->ClaimAt(other), ClaimState::kWrongIncarnation);
  other = this->ticket;
  other.node = "you";
  EXPECT_EQ(this->ClaimAt(other), ClaimState::kWrongIncarnation);
  other = this->ticket;
  other.window += 1;
  EXPECT_EQ(this->ClaimAt(other), ClaimState::kForgotten);
  EXPECT_EQ(this->ClaimAt(this->ticket), ClaimState::kRun);
  constexpr double kRememberedSeconds = 4 * 600;
  EXPECT_EQ(this->ClaimAt(this->ticket, kRememberedSeconds - 1), ClaimState::kRunning);
  EXPECT_EQ(this->ClaimAt(this->ticket, kRememberedSeconds), ClaimState::kForgotten);
  EXPECT_FALSE(this->ledger.Start(this->ticket, AtSeconds(kRememberedSeconds)));
}

TEST_F(TicketLedgerCaseTest, FullWindowRefusesPermanentlyButNewTicketsAreAccepted) {
  for (int i = 0; i < 8; ++i) {
    Ticket next = Ticket::Issue("me", kIncarnation, this->ticket.window);
    EXPECT_EQ(this->ClaimAt(next), ClaimState::kRun);
  }
  EXPECT_EQ(this->ClaimAt(this->ticket), ClaimState::kLedgerFull);
  EXPECT_EQ(this->ClaimAt(this->ledger.IssueOwn(AtSeconds(0))), ClaimState::kRun);
  EXPECT_EQ(this->ClaimAt(this->ticket, 599), ClaimState::kLedgerFull);
  EXPECT_FALSE(this->ledger.Start(this->ticket, AtSeconds(599)));
}

}  // namespace
}  // namespace fireflyrun::policy
