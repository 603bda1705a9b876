#include "policy/admission_level.h"

#include <gtest/gtest.h>

namespace fireflyrun::policy {
namespace {

/// Offers 100 calls of each of ranks 0 to 3, spread over the hash space, and completes `completed`.
void OfferAll(AdmissionLevel* level, int completed, AdmissionPressure pressure) {
  for (std::uint32_t rank = 0; rank < 4; ++rank) {
    for (std::uint32_t i = 0; i < 100; ++i) level->OnOffered({rank, i * (UINT32_MAX / 100)});
  }
  for (int i = 0; i < completed; ++i) level->OnCompleted();
  level->EndInterval(0.1, pressure, completed * 10);
}

TEST(AdmissionLevelTest, TightensToTheCompletedRate) {
  AdmissionLevel level;
  OfferAll(&level, 150, AdmissionPressure::kOverloaded);
  EXPECT_EQ(level.Level().rank, 1U);
  EXPECT_NEAR(level.Level().hash, 0.45 * UINT32_MAX, 0.03 * UINT32_MAX);
}

TEST(AdmissionLevelTest, StaysNearTheCompletedRateUnderSustainedOverload) {
  AdmissionLevel level;
  for (int i = 0; i < 100; ++i) OfferAll(&level, 150, AdmissionPressure::kOverloaded);
  EXPECT_EQ(level.Level().rank, 1U);
  EXPECT_GT(level.Level().hash, 0.3 * UINT32_MAX);
}

TEST(AdmissionLevelTest, LoosensInStepsAndFasterWhenTheTargetIsIdle) {
  const auto intervals_to_open = [](AdmissionPressure pressure) {
    AdmissionLevel level;
    OfferAll(&level, 100, AdmissionPressure::kOverloaded);
    int intervals = 0;
    while (level.Level() != kOpenLevel && intervals < 1000) {
      OfferAll(&level, 100, pressure);
      intervals += 1;
    }
    return intervals;
  };
  EXPECT_GE(intervals_to_open(AdmissionPressure::kIdle), 10);
  EXPECT_LE(intervals_to_open(AdmissionPressure::kIdle), 30);
  EXPECT_GE(intervals_to_open(AdmissionPressure::kBusy), 60);
  EXPECT_LT(intervals_to_open(AdmissionPressure::kBusy), 1000);
}

TEST(AdmissionLevelTest, AlwaysAdmitsTheHighestPriorityDemand) {
  AdmissionLevel level;
  for (int i = 0; i < 50; ++i) OfferAll(&level, 0, AdmissionPressure::kOverloaded);
  EXPECT_TRUE(level.Admits({0, 0}));
  EXPECT_FALSE(level.Admits({0, UINT32_MAX / 2}));
}

}  // namespace
}  // namespace fireflyrun::policy
