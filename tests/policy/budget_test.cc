#include <gtest/gtest.h>

#include "policy/byte_budget.h"
#include "policy/key_bindings.h"
#include "policy/retry_budget.h"
#include "tests/policy/fake_target.h"

namespace fireflyrun::policy {
namespace {

TEST(RetryBudgetTest, SuccessesEarnRetriesUpToTheBurst) {
  RetryBudget budget(0.25, 2);
  EXPECT_TRUE(budget.TrySpend());
  EXPECT_TRUE(budget.TrySpend());
  EXPECT_FALSE(budget.TrySpend());
  for (int i = 0; i < 3; ++i) budget.OnSuccess();
  EXPECT_FALSE(budget.TrySpend());
  budget.OnSuccess();
  EXPECT_TRUE(budget.TrySpend());
  for (int i = 0; i < 100; ++i) budget.OnSuccess();
  EXPECT_EQ(budget.Available(), 2);
}

TEST(ByteBudgetTest, BoundsTheBytesOverTime) {
  ByteBudget budget(1000, 500, AtSeconds(0));
  std::uint64_t sent = 0;
  for (int i = 0; i < 10'000; ++i) {
    if (budget.TryTake(100, AtSeconds(i * 0.001))) sent += 100;
  }
  EXPECT_LE(sent, 10'500U);
  EXPECT_GE(sent, 10'000U);
}

TEST(ByteBudgetTest, MessageAboveTheBurstPassesWhenFullAndItsDebtIsRepaid) {
  ByteBudget budget(1000, 500, AtSeconds(0));
  EXPECT_TRUE(budget.TryTake(2500, AtSeconds(0)));
  EXPECT_FALSE(budget.TryTake(1, AtSeconds(1.9)));
  EXPECT_TRUE(budget.TryTake(1, AtSeconds(2.1)));
}

TEST(KeyBindingsTest, KeepsTheFirstTicketUntilMovedToItsSuccessor) {
  KeyBindings bindings(1);
  const Ticket first = Ticket::Issue("a", 1, 1);
  const Ticket second = Ticket::Issue("b", 1, 1);
  EXPECT_EQ(bindings.Bind("tills", "k", first), first);
  EXPECT_EQ(bindings.Bind("tills", "k", second), first);
  EXPECT_EQ(bindings.Bind("tills", "other", second).error(), RefusalReason::kKeyLimit);
  EXPECT_EQ(bindings.Move("tills", "k", second, Ticket::Issue("c", 1, 1)), first);
  EXPECT_EQ(bindings.Move("tills", "k", first, second), second);
  EXPECT_EQ(bindings.Bind("tills", "k", first), second);
}

}  // namespace
}  // namespace fireflyrun::policy
