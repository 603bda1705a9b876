#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <vector>

#include "tests/policy/callers_in_loop.h"

namespace fireflyrun::policy {
namespace {

const std::vector<CallKind> kKinds{{0.015, 0.8}, {0.24, 0.2}};
constexpr double kMeanSeconds = 0.06;
constexpr std::uint32_t kServers = 30;

/// Answers a target that announces more slots than it runs calls at once, among calls of several
/// kinds. The bounds are those of ConcurrencyLimitTest for calls of one kind.
class MixedSlotsTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  std::shared_ptr<CallMix> Mix() const { return std::make_shared<CallMix>(kKinds, GetParam()); }
};

INSTANTIATE_TEST_SUITE_P(Seeds, MixedSlotsTest, testing::Range<std::uint64_t>(1, 9));

TEST_P(MixedSlotsTest, UsesWhatTheTargetRuns) {
  CallersInLoop run({90, kServers, 200}, this->Mix(), GetParam());
  run.RunUntil(20);
  run.RunUntil(320);
  EXPECT_GT(run.Completed(), 0.95 * 300 * kServers / kMeanSeconds);
}

TEST_P(MixedSlotsTest, FindsFarTooManySlotsWhileFewAreInUse) {
  CallersInLoop run({400, kServers, 150}, this->Mix(), GetParam());
  run.RunUntil(20);
  run.RunUntil(320);
  EXPECT_LT(run.MeanLimit(), 2 * kServers);
}

}  // namespace
}  // namespace fireflyrun::policy
