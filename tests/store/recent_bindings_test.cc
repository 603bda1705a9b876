#include "store/recent_bindings.h"

#include <gtest/gtest.h>

namespace fireflyrun::store {
namespace {

TEST(RecentBindingsTest, KeepsTheNewestTicketOfAKeyForAWhile) {
  RecentBindings recent;
  const SteadyTime start = SteadyClock::now();
  recent.Add({"a", "t1", start});
  recent.Add({"b", "t2", start + std::chrono::seconds(1)});
  recent.Add({"a", "t3", start + std::chrono::seconds(2)});
  const auto all = recent.All(start + std::chrono::seconds(3));
  ASSERT_EQ(all.size(), 2U);
  EXPECT_EQ(all[0].ticket, "t2");
  EXPECT_EQ(all[1].ticket, "t3");
  const auto later = recent.All(start + std::chrono::seconds(2) + RecentBindings::kKeptTime);
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(later[0].store_key, "a");
}

TEST(RecentBindingsTest, IsBounded) {
  RecentBindings recent;
  const SteadyTime now = SteadyClock::now();
  for (std::size_t i = 0; i < RecentBindings::kMostKept + 5; ++i) {
    recent.Add({std::to_string(i), "t", now});
  }
  const auto all = recent.All(now);
  EXPECT_EQ(all.size(), RecentBindings::kMostKept);
  EXPECT_EQ(all.front().store_key, "5");
}

}  // namespace
}  // namespace fireflyrun::store
