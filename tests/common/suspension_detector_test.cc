#include "common/suspension_detector.h"

#include <gtest/gtest.h>

namespace fireflyrun {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(SuspensionDetectorTest, TellsEachGapOnce) {
  Duration boot = seconds(50);
  Duration steady = seconds(20);
  SuspensionDetector detector([&] { return boot; }, [&] { return steady; });
  boot += seconds(9);
  steady += seconds(9) - milliseconds(3);
  EXPECT_EQ(detector.Check(), Duration::zero());
  boot += seconds(5);
  steady += seconds(1);
  EXPECT_EQ(detector.Check(), seconds(4));
  EXPECT_EQ(detector.Check(), Duration::zero());
}

TEST(SuspensionDetectorTest, ReadsTheClocksOfTheSystem) {
  SuspensionDetector detector;
  EXPECT_EQ(detector.Check(), Duration::zero());
}

}  // namespace
}  // namespace fireflyrun
