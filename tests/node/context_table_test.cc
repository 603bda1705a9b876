#include "node/context_table.h"

#include <gtest/gtest.h>

#include "node/call_context.h"

namespace fireflyrun::node {
namespace {

std::shared_ptr<CallContext> AddRequest(ContextTable& table, const std::string& request_id) {
  auto context = std::make_shared<CallContext>();
  context->request_id = request_id;
  table.Add(context);
  return context;
}

TEST(ContextTableTest, FindsRunningCallOfRequestUntilRemoved) {
  ContextTable table;
  const auto context = AddRequest(table, "abc");
  EXPECT_EQ(table.FindRequest("abc"), context);
  EXPECT_EQ(table.Find(context->handle.ToHex()), context);
  EXPECT_EQ(table.FindRequest("ab"), nullptr);
  EXPECT_EQ(table.FindRequest("abc.1"), nullptr);
  table.Remove(context->handle);
  EXPECT_EQ(table.FindRequest("abc"), nullptr);
  EXPECT_EQ(table.Size(), 0U);
}

TEST(ContextTableTest, CallsWithoutRequestIdAreFoundByHandleOnly) {
  ContextTable table;
  const auto one = AddRequest(table, "");
  const auto other = AddRequest(table, "");
  EXPECT_EQ(table.FindRequest(""), nullptr);
  table.Remove(one->handle);
  EXPECT_EQ(table.Find(other->handle.ToHex()), other);
}

TEST(ContextTableTest, RemovingEarlierCallOfRequestKeepsLaterCall) {
  ContextTable table;
  const auto earlier = AddRequest(table, "abc");
  const auto later = AddRequest(table, "abc");
  EXPECT_EQ(table.FindRequest("abc"), later);
  table.Remove(earlier->handle);
  EXPECT_EQ(table.FindRequest("abc"), later);
  table.Remove(earlier->handle);  // Already removed.
  EXPECT_EQ(table.FindRequest("abc"), later);
}

TEST(ContextTableTest, RemovingLaterCallOfRequestKeepsEarlierCalls) {
  ContextTable table;
  const auto first = AddRequest(table, "abc");
  const auto second = AddRequest(table, "abc");
  const auto third = AddRequest(table, "abc");
  table.Remove(second->handle);
  EXPECT_EQ(table.FindRequest("abc"), third);
  table.Remove(third->handle);
  EXPECT_EQ(table.FindRequest("abc"), first);
  table.Remove(first->handle);
  EXPECT_EQ(table.FindRequest("abc"), nullptr);
}

TEST(ContextTableTest, CancelledCallIsRememberedUntilItsDeadline) {
  ContextTable table;
  const SteadyTime now = SteadyClock::now();
  const auto cancelled = AddRequest(table, "abc");
  cancelled->deadline = now + std::chrono::seconds(1);
  table.RemoveCancelled(cancelled->handle, now);
  EXPECT_EQ(table.FindRequest("abc"), nullptr);
  EXPECT_TRUE(table.IsCancelled("abc"));
  EXPECT_TRUE(table.IsCancelled(cancelled->handle.ToHex()));
  const auto ended = AddRequest(table, "def");
  table.Remove(ended->handle);
  EXPECT_FALSE(table.IsCancelled("def"));
  EXPECT_FALSE(table.IsCancelled(""));
  const auto later = AddRequest(table, "ghi");
  later->deadline = now + std::chrono::seconds(9);
  table.RemoveCancelled(later->handle, now + std::chrono::seconds(2));
  EXPECT_FALSE(table.IsCancelled("abc"));
  EXPECT_FALSE(table.IsCancelled(cancelled->handle.ToHex()));
  EXPECT_TRUE(table.IsCancelled("ghi"));
}

TEST(ContextTableTest, CancelledCallsAreRememberedInABoundedNumber) {
  ContextTable table;
  const SteadyTime now = SteadyClock::now();
  for (std::size_t i = 0; i <= ContextTable::kMaxCancelledCalls; ++i) {
    const auto context = AddRequest(table, std::to_string(i));
    context->deadline = now + std::chrono::seconds(600);
    table.RemoveCancelled(context->handle, now);
  }
  EXPECT_FALSE(table.IsCancelled("0"));
  EXPECT_TRUE(table.IsCancelled("1"));
  EXPECT_TRUE(table.IsCancelled(std::to_string(ContextTable::kMaxCancelledCalls)));
}

}  // namespace
}  // namespace fireflyrun::node
