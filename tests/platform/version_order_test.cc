#include "platform/version_order.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <compare>
#include <string>
#include <vector>

namespace fireflyrun::platform {
namespace {

using records::BookRevision;

TEST(VersionOrderTest, WholeVersionsHaveTheNextNumber) {
  EXPECT_EQ(RevisionOfVersion("0"), BookRevision(1));
  EXPECT_EQ(RevisionOfVersion("-0"), BookRevision(1));
  EXPECT_EQ(RevisionOfVersion("7"), BookRevision(8));
  EXPECT_EQ(RevisionOfVersion("7.0"), BookRevision(8));
  EXPECT_EQ(RevisionOfVersion("70e-1"), BookRevision(8));
  EXPECT_EQ(RevisionOfVersion("0.7E+1"), BookRevision(8));
  EXPECT_EQ(RevisionOfVersion("9007199254740993"), BookRevision(9007199254740994));
  EXPECT_EQ(RevisionOfVersion("9223372036854775806"), BookRevision(INT64_MAX));
}

/// Guards against greater versions that are taken for known ones.
TEST(VersionOrderTest, GreaterVersionsHaveGreaterRevisions) {
  const std::vector<std::string> rising = {"0",
                                           "1e-300",
                                           "0.5",
                                           "1",
                                           "7",
                                           "7.1",
                                           "7.12",
                                           "7.2",
                                           "8",
                                           "9007199254740991",
                                           "9007199254740992",
                                           "9007199254740993",
                                           "1796657791334000000",
                                           "1796657791334000001",
                                           "9223372036854775806",
                                           "9223372036854775806.5",
                                           "9223372036854775807",
                                           "9223372036854775807.25",
                                           "9223372036854775808",
                                           "18446744073709551615",
                                           "18446744073709551616",
                                           "99999999999999999999",
                                           "100000000000000000000",
                                           "1e21",
                                           "1.5e21",
                                           "1e300"};
  for (std::size_t i = 0; i < rising.size(); ++i) {
    const auto revision = RevisionOfVersion(rising[i]);
    ASSERT_TRUE(revision) << rising[i];
    EXPECT_EQ(records::ParseRevision(records::FormatRevision(*revision)), *revision) << rising[i];
    if (i == 0) continue;
    EXPECT_LT(RevisionOfVersion(rising[i - 1]), *revision) << rising[i];
  }
}

/// Guards against a book of a build before, which read versions as numbers of 53 bits, that counts
/// as newer than an exact one.
TEST(VersionOrderTest, ClampedNumbersOfTheBuildBeforeAreNotNewer) {
  const BookRevision clamped((std::int64_t{1} << 53) + 1);
  for (const char* version : {"9007199254740993", "1796657791334000000", "1e20"}) {
    EXPECT_GT(RevisionOfVersion(version), clamped) << version;
  }
}

TEST(VersionOrderTest, RefusesWhatHasNoPlaceInTheOrder) {
  for (const char* text :
       {"", "-1", "-0.5", "x", "1x", "1e", "1e5000", "1e-5000", ".5", "NaN",
        "1e9223372036854775807", "1e-9223372036854775808", "1e-9223372036854775809"}) {
    EXPECT_FALSE(RevisionOfVersion(text)) << text;
  }
  EXPECT_FALSE(RevisionOfVersion(std::string(1001, '9')));
}

TEST(VersionOrderTest, FindsTheTextOfTheOutermostVersion) {
  EXPECT_EQ(FindVersionText(R"({"a":{"version":1},"version":7.10,"b":[{"version":2}]})"), "7.10");
  EXPECT_EQ(FindVersionText(R"({"version":18446744073709551616})"), "18446744073709551616");
  EXPECT_EQ(FindVersionText(R"({"version":"7","x":3})"), std::nullopt);
  EXPECT_EQ(FindVersionText(R"({"version":[7]})"), std::nullopt);
  EXPECT_EQ(FindVersionText("{"), std::nullopt);
}

std::string DrawDigits(int most) {
  const int count = *rc::gen::inRange(0, most);
  std::string digits;
  for (int i = 0; i < count; ++i) {
    const int digit = *rc::gen::inRange(0, 10);
    digits += static_cast<char>('0' + digit);
  }
  return digits;
}

/// A number by its digits before and after the point, both padded with zeros to one width, so that
/// the texts compare as the numbers do.
struct Number {
  std::string whole;
  std::string fraction;

  std::string Text() const {
    const std::size_t start = std::min(this->whole.find_first_not_of('0'), this->whole.size() - 1);
    return this->whole.substr(start) + (this->fraction.empty() ? "" : "." + this->fraction);
  }
  std::string Padded() const {
    return std::string(40 - this->whole.size(), '0') + this->whole + this->fraction +
           std::string(40 - this->fraction.size(), '0');
  }
};

Number DrawNumber() {
  const std::string whole = "0" + DrawDigits(24);
  const std::string fraction = DrawDigits(6);
  return {whole, fraction};
}

RC_GTEST_PROP(VersionOrderTest, RevisionsAreOrderedAsTheNumbersAre, ()) {
  const Number first = DrawNumber();
  const bool is_near = *rc::gen::arbitrary<bool>();
  Number second = DrawNumber();
  if (is_near) second.whole = first.whole;
  const auto expected = first.Padded() <=> second.Padded();
  const auto first_revision = RevisionOfVersion(first.Text());
  const auto second_revision = RevisionOfVersion(second.Text());
  RC_ASSERT(first_revision.has_value());
  RC_ASSERT(second_revision.has_value());
  RC_ASSERT((*first_revision <=> *second_revision) == expected);
}

}  // namespace
}  // namespace fireflyrun::platform
