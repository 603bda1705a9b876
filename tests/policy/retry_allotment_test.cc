#include "policy/retry_allotment.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace fireflyrun::policy {
namespace {

/// A random call tree in which calls fail and answers are lost, duplicated or reordered.
class CallTree {
 public:
  static constexpr int kMaxDepth = 25;
  static constexpr int kMaxCalls = 20'000;

  explicit CallTree(std::uint32_t seed) : generator(seed) {
    this->fail_percent = this->Below(3) == 0 ? 100 : this->Below(100);
    this->lose_percent = this->Below(100);
    this->max_children = 1 + this->Below(3);
  }

  /// Runs a call and all calls below it; returns the unused retries in its answer.
  std::uint32_t Run(int depth, std::uint32_t granted) {
    this->calls += 1;
    RetryAllotment allotment(granted);
    this->RunChildren(depth, &allotment);
    while (this->Chance(this->fail_percent) && allotment.TrySpend()) {
      this->retries += 1;
      this->RunChildren(depth, &allotment);
    }
    return allotment.Remaining();
  }

  std::uint32_t Retries() const { return this->retries; }

 private:
  struct Answer {
    std::uint32_t grant_id;
    std::uint32_t unused;
  };

  std::uint32_t Below(std::uint32_t bound) { return this->generator() % bound; }
  bool Chance(std::uint32_t percent) { return this->Below(100) < percent; }

  void RunChildren(int depth, RetryAllotment* allotment) {
    if (depth == kMaxDepth || this->calls > kMaxCalls) return;
    std::vector<Answer> answers;
    const std::uint32_t children = 1 + this->Below(this->max_children);
    for (std::uint32_t i = 0; i < children; ++i) {
      const RetryGrant grant = allotment->Grant();
      const Answer answer{grant.id, this->Run(depth + 1, grant.amount)};
      if (this->Chance(this->lose_percent)) continue;
      answers.insert(answers.end(), 1 + this->Below(2), answer);
    }
    std::shuffle(answers.begin(), answers.end(), this->generator);
    for (const Answer& answer : answers) allotment->Return(answer.grant_id, answer.unused);
  }

  std::mt19937 generator;
  std::uint32_t fail_percent;
  std::uint32_t lose_percent;
  std::uint32_t max_children;
  std::uint32_t retries = 0;
  int calls = 0;
};

RC_GTEST_PROP(RetryAllotmentTest, CallTreeRetriesNoMoreThanItsRootAllotment, (std::uint32_t seed)) {
  const std::uint32_t allotted = seed % 8;
  CallTree tree(seed);
  const std::uint32_t unused = tree.Run(0, allotted);
  RC_ASSERT(tree.Retries() + unused <= allotted);
}

TEST(RetryAllotmentTest, KeepsOneAndGrantsTheRest) {
  RetryAllotment allotment(3);
  const RetryGrant grant = allotment.Grant();
  EXPECT_EQ(grant.amount, 2U);
  EXPECT_EQ(allotment.Grant().amount, 0U);
  EXPECT_TRUE(allotment.TrySpend());
  EXPECT_TRUE(allotment.Exhausted());
  EXPECT_EQ(allotment.Outstanding(), 2U);
  allotment.Return(grant.id, 5);
  allotment.Return(grant.id, 2);
  EXPECT_EQ(allotment.Remaining(), 2U);
}

}  // namespace
}  // namespace fireflyrun::policy
