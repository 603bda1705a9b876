#include "common/id128.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fireflyrun {
namespace {

RC_GTEST_PROP(Id128Test, HexAndBytesRoundTrip, (std::uint64_t high, std::uint64_t low)) {
  const Id128 id(high, low);
  RC_ASSERT(Id128::FromHex(id.ToHex()) == id);
  RC_ASSERT(Id128::FromBytes(id.ToBytes()) == id);
}

TEST(Id128Test, RejectsWrongLengthAndDigits) {
  EXPECT_FALSE(Id128::FromHex("abc"));
  EXPECT_FALSE(Id128::FromHex(std::string(32, 'g')));
  EXPECT_FALSE(Id128::FromBytes("too short"));
}

TEST(Id128Test, RandomIdsDiffer) { EXPECT_NE(Id128::Random(), Id128::Random()); }

}  // namespace
}  // namespace fireflyrun
