#include "node/target_announcement.h"

#include <gtest/gtest.h>

#include <string>

namespace fireflyrun::node {
namespace {

std::string Announcement(const std::string& last_fields) {
  return R"({"service":"shop","address":"127.0.0.1:80","slots":4,"state":"serving","seq":9)" +
         last_fields + "}";
}

/// The place of the only problem; empty if there is none.
std::string ProblemPlace(const std::string& text) {
  const auto parsed = ParseAnnouncement("i-1", text);
  if (parsed) return "";
  EXPECT_EQ(parsed.error().size(), 1U) << text.substr(0, 100);
  return parsed.error().front().place;
}

TEST(TargetAnnouncementTest, PlausibleNumbersAreTaken) {
  EXPECT_EQ(ProblemPlace(Announcement("")), "");
  EXPECT_EQ(ProblemPlace(Announcement(R"(,"born":1796400000000,"cold_left":12.5)")), "");
}

TEST(TargetAnnouncementTest, NumbersThatAreTooLargeAreReportedWithTheirPlace) {
  EXPECT_EQ(ProblemPlace(Announcement(R"(,"born":18446744073709551615)")), "/born");
  EXPECT_EQ(ProblemPlace(Announcement(R"(,"born":1e300)")), "/born");
  EXPECT_EQ(ProblemPlace(Announcement(R"(,"cold_left":1e300)")), "/cold_left");
  EXPECT_EQ(ProblemPlace(Announcement(R"(,"cold_left":1e999)")), "/");
  EXPECT_EQ(ProblemPlace(R"({"service":"shop","address":"127.0.0.1:80","slots":4,)"
                         R"("seq":18446744073709551615})"),
            "/seq");
  EXPECT_EQ(ProblemPlace(R"({"service":"shop","address":"127.0.0.1:80","slots":99999999999999})"),
            "/slots");
  EXPECT_EQ(ProblemPlace(R"({"service":"shop","address":"127.0.0.1:99999","slots":4})"),
            "/address");
}

TEST(TargetAnnouncementTest, DeeplyNestedTextIsReported) {
  constexpr int kDepth = 100'000;
  std::string nested;
  for (int level = 0; level < kDepth; ++level) nested += R"({"service":)";
  EXPECT_EQ(ProblemPlace(nested), "/");
  EXPECT_EQ(ProblemPlace(std::string(kDepth, '[') + std::string(kDepth, ']')), "/");
  EXPECT_EQ(ParseDepartedBorn(nested), 0U);
}

TEST(TargetAnnouncementTest, DepartureWithATooLargeTimeHasNone) {
  EXPECT_EQ(ParseDepartedBorn(R"({"born":1796400000000})"), 1796400000000U);
  EXPECT_EQ(ParseDepartedBorn(R"({"born":18446744073709551615})"), 0U);
}

}  // namespace
}  // namespace fireflyrun::node
