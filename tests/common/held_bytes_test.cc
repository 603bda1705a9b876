#include "common/held_bytes.h"

#include <gtest/gtest.h>

#include <utility>

namespace fireflyrun {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20;

TEST(HeldBytesTest, SharesAreCountedUntilTheyEnd) {
  const auto counted = std::make_shared<HeldBytes>(4 * kMegabyte);
  {
    HeldBytesShare first(counted);
    first.Set(3 * kMegabyte);
    HeldBytesShare second(counted);
    second.Set(kMegabyte);
    EXPECT_EQ(counted->Held(), 4 * kMegabyte);
    EXPECT_FALSE(counted->Exceeded());
    second.Set(2 * kMegabyte);
    EXPECT_TRUE(counted->Exceeded());
    HeldBytesShare moved(std::move(second));
    EXPECT_EQ(counted->Held(), 5 * kMegabyte);
    first = HeldBytesShare();
    EXPECT_EQ(counted->Held(), 2 * kMegabyte);
  }
  EXPECT_EQ(counted->Held(), 0U);
}

TEST(HeldBytesTest, RequestsGiveWayBeforeAnswers) {
  const auto counted = std::make_shared<HeldBytes>(4 * kMegabyte);
  HeldBytesShare share(counted);
  EXPECT_TRUE(share.GrowRequest(2 * kMegabyte));
  EXPECT_FALSE(share.GrowRequest(2 * kMegabyte + 1));
  EXPECT_EQ(counted->Held(), 2 * kMegabyte) << "a share that may not grow stays as it is";
  EXPECT_TRUE(counted->HasRoomForAnswer(2 * kMegabyte));
  EXPECT_FALSE(counted->HasRoomForAnswer(2 * kMegabyte + 1));
}

TEST(HeldBytesTest, SmallBodiesAlwaysHaveRoom) {
  const auto counted = std::make_shared<HeldBytes>(kMegabyte);
  HeldBytesShare large(counted);
  large.Set(2 * kMegabyte);
  HeldBytesShare small(counted);
  EXPECT_TRUE(small.GrowRequest(HeldBytes::kSmallBody));
  EXPECT_TRUE(counted->HasRoomForAnswer(HeldBytes::kSmallBody));
  EXPECT_FALSE(counted->HasRoomForAnswer(HeldBytes::kSmallBody + 1));
}

TEST(HeldBytesTest, SharesWithoutACountTakeAnything) {
  HeldBytesShare share;
  share.Set(kMegabyte);
  EXPECT_TRUE(share.GrowRequest(1'000 * kMegabyte));
}

}  // namespace
}  // namespace fireflyrun
