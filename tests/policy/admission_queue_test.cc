#include "policy/admission_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "tests/policy/fake_target.h"

namespace fireflyrun::policy {
namespace {

using Queue = AdmissionQueue<int>;

Queue::Entry MakeEntry(std::uint64_t id, PriorityKey key, double deadline = 10,
                       double service = 1) {
  return {Id128(0, id), key, AtSeconds(deadline), ToDuration(service), {}, 0};
}

RC_GTEST_PROP(AdmissionQueueTest, KeepsTheHighestPrioritiesInOrder,
              (std::vector<std::uint8_t> ranks)) {
  constexpr std::size_t kCapacity = 5;
  Queue queue(kCapacity);
  std::uint64_t id = 0;
  for (const std::uint8_t rank : ranks) {
    const auto evicted = queue.Push(MakeEntry(++id, {rank, 0}), AtSeconds(0));
    RC_ASSERT(evicted.has_value() == (id > kCapacity));
  }
  auto expected = ranks;
  std::sort(expected.begin(), expected.end());
  expected.resize(std::min(expected.size(), kCapacity));
  std::vector<std::uint8_t> popped;
  while (const auto entry = queue.PopBest(AtSeconds(0))) {
    popped.push_back(static_cast<std::uint8_t>(entry->key.rank));
  }
  RC_ASSERT(popped == expected);
}

TEST(AdmissionQueueTest, EqualKeysArePoppedInOrderOfArrival) {
  Queue queue(3);
  for (std::uint64_t id = 1; id <= 3; ++id) queue.Push(MakeEntry(id, {}), AtSeconds(0));
  for (std::uint64_t id = 1; id <= 3; ++id)
    EXPECT_EQ(queue.PopBest(AtSeconds(0))->id, Id128(0, id));
}

TEST(AdmissionQueueTest, EntriesThatCannotMeetTheirDeadlineAreNotPopped) {
  Queue queue(3);
  queue.Push(MakeEntry(1, {0, 0}, 5, 1), AtSeconds(0));
  queue.Push(MakeEntry(2, {1, 0}, 10, 1), AtSeconds(0));
  EXPECT_TRUE(queue.DropExpired(AtSeconds(4)).empty());
  EXPECT_EQ(queue.PopBest(AtSeconds(4.1))->id, Id128(0, 2));
  const auto expired = queue.DropExpired(AtSeconds(4.1));
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired[0].id, Id128(0, 1));
  EXPECT_TRUE(queue.Empty());
}

TEST(AdmissionQueueTest, RemovesAndDropsEntriesAndRejectsRepeatedIds) {
  Queue queue(9);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    queue.Push(MakeEntry(id, {static_cast<std::uint32_t>(id), 7}), AtSeconds(0));
  }
  EXPECT_EQ(queue.Push(MakeEntry(1, {}), AtSeconds(0))->id, Id128(0, 1));
  EXPECT_TRUE(queue.Remove(Id128(0, 1)));
  EXPECT_FALSE(queue.Remove(Id128(0, 1)));
  EXPECT_EQ(queue.DropBeyond({3, 6}).size(), 2U);
  EXPECT_EQ(queue.Size(), 1U);
  EXPECT_TRUE(queue.DropExpired(AtSeconds(99)).size() == 1U && queue.Empty());
}

}  // namespace
}  // namespace fireflyrun::policy
