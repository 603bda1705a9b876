#include "records/record_checker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace fireflyrun::records {
namespace {

constexpr const char* kGoodFile = R"([
  {"kind":"service","schema":2,"name":"proclaim","priority":"proclamations",
   "retry_allowance":"standard","deadline_ms":5000,"idempotent":false,"max_body_bytes":1000,
   "routes":[{"method":"GET","path":"/filings","priority":"reads","idempotent":true}]},
  {"kind":"priority","schema":1,"name":"proclamations","rank":0,"may_leave_region":true},
  {"kind":"priority","schema":1,"name":"reads","rank":9,"may_leave_region":false},
  {"kind":"retry_allowance","schema":1,"name":"standard","retries_per_request":3,
   "success_ratio":0.1,"burst":20}])";

std::string Check(const std::string& text, const std::vector<RecordEntry>& known = {}) {
  const CheckedRecords checked = CheckRecords("F", text, known);
  EXPECT_NE(checked.records.empty(), checked.findings.empty());
  return FormatFindings(checked.findings);
}

std::vector<RecordEntry> KnownRecords() {
  std::vector<RecordEntry> known;
  for (const Record& record : CheckRecords("F", kGoodFile, {}).records) {
    known.push_back({record.key, record.body, 5, false, "w"});
  }
  return known;
}

TEST(RecordCheckerTest, TakesAWholeFile) {
  EXPECT_EQ(Check(kGoodFile), "");
  EXPECT_EQ(CheckRecords("F", kGoodFile, {}).records.size(), 4U);
}

TEST(RecordCheckerTest, ReportsAllFindingsOfAFileAtOnce) {
  const std::string report = Check(R"([
    {"kind":"service","schema":1,"name":"A","priority":"missing","retry_allowance":7,
     "deadline_ms":9,"idempotent":"no","extra":1},
    {"kind":"priority","schema":1,"name":"p","rank":-1,"may_leave_region":true},
    {"kind":"retry_allowance","schema":1,"name":"r","retries_per_request":1.5,
     "success_ratio":1.01,"burst":123456789012345678901234567890},
    {"kind":"service","schema":1,"name":"b","priority":"q","retry_allowance":"r",
     "deadline_ms":50,"idempotent":true},
    {"kind":"x"}, 5])");
  for (const char* place :
       {"F:/0/name: is \"A\"", "F:/0/retry_allowance: is 7", "F:/0/deadline_ms: is 9",
        "F:/0/idempotent: is \"no\"", "F:/0/extra: is no field", "F:/1/rank: is -1",
        "F:/2/retries_per_request: is 1.5", "F:/2/success_ratio: is 1.01", "F:/2/burst: is 1.2",
        "F:/3/priority: names the priority \"q\"", "F:/4/kind: is x", "F:/5: is no record"}) {
    EXPECT_NE(report.find(place), std::string::npos) << place << " in\n" << report;
  }
  EXPECT_EQ(report.find("F:/3/retry_allowance"), std::string::npos) << report;
}

TEST(RecordCheckerTest, RefusesTheNameOfTheNodesOwnPath) {
  const std::string report = Check(R"([
    {"kind":"priority","schema":1,"name":"p","rank":1,"may_leave_region":true},
    {"kind":"retry_allowance","schema":1,"name":"r","retries_per_request":1,"success_ratio":0.1,
     "burst":1},
    {"kind":"service","schema":1,"name":"tickets","priority":"p","retry_allowance":"r",
     "deadline_ms":50,"idempotent":true}])");
  EXPECT_NE(report.find("F:/2/name: is \"tickets\""), std::string::npos) << report;
}

TEST(RecordCheckerTest, ReportsRoutes) {
  const std::string report = Check(R"({"kind":"service","schema":2,"name":"s","priority":"reads",
    "retry_allowance":"standard","deadline_ms":50,"idempotent":true,"max_body_bytes":-1,"routes":[
    {"method":"get","path":"a/","priority":"none"},{"method":"*","path":"/"},
    {"method":"*","path":"/"},{"method":"*","path":"/a","rank":1},[]]})",
                                   KnownRecords());
  for (const char* place :
       {"F:/routes/0/method: is get", "F:/routes/0/path: is a/", "F:/routes/2: repeats",
        "F:/routes/3/rank: is no field", "F:/routes/4: is no route", "F:/max_body_bytes: is -1"}) {
    EXPECT_NE(report.find(place), std::string::npos) << place << " in\n" << report;
  }
}

TEST(RecordCheckerTest, ReportsRepeatedRecordsAndFields) {
  const std::string priority =
      R"({"kind":"priority","schema":1,"name":"p","rank":1,"rank":2,"may_leave_region":true})";
  const std::string report = Check("[" + priority + "," + priority + "]");
  EXPECT_NE(report.find("F:/0/rank: the field is given twice"), std::string::npos) << report;
  EXPECT_NE(report.find("F:/1: repeats priority/p/v1, which stands at F:/0"), std::string::npos)
      << report;
}

TEST(RecordCheckerTest, RefusesReferencesToRetiredRecords) {
  std::vector<RecordEntry> known = KnownRecords();
  const std::string service = R"({"kind":"service","schema":1,"name":"s","priority":"reads",
    "retry_allowance":"standard","deadline_ms":50,"idempotent":true})";
  EXPECT_EQ(Check(service, known), "");
  for (RecordEntry& entry : known) entry.retired = entry.key.name == "reads";
  EXPECT_NE(Check(service, known).find("F:/priority: names"), std::string::npos);
}

TEST(RecordCheckerTest, SurvivesHostileText) {
  const std::string deep(kMaxFileBytes, '[');
  EXPECT_NE(Check(deep).find("nested too deeply"), std::string::npos);
  EXPECT_NE(Check(std::string(10 * kMaxFileBytes, '[')).find("allowed are 1048576"),
            std::string::npos);
  EXPECT_NE(Check("").find("is empty"), std::string::npos);
  EXPECT_NE(Check("\xEF\xBB\xBF" + std::string(kGoodFile)).find("byte order mark"),
            std::string::npos);
  EXPECT_NE(Check("{\"kind\":\"\xFF\"}").find("not readable"), std::string::npos);
  EXPECT_NE(Check("[]").find("no record"), std::string::npos);
  EXPECT_NE(Check("[1e999]").find("not readable"), std::string::npos);
  EXPECT_NE(Check("{\"kind\":\"priority\"} x").find("not readable"), std::string::npos);
  std::string many = "[0";
  for (int i = 0; i < 100'000; ++i) many += ",0";
  EXPECT_NE(Check(many + "]").find("holds 100001 records"), std::string::npos);
  std::string fields = "{\"kind\":\"priority\"";
  for (int i = 0; i < 70'000; ++i) fields += ",\"" + std::to_string(i) + "\":0";
  EXPECT_LE(CheckRecords("F", fields + "}", {}).findings.size(), kMaxFindings + 1);
}

RC_GTEST_PROP(RecordCheckerTest, NeverTakesHalfOfADamagedFile, ()) {
  std::string text = kGoodFile;
  const int damages = *rc::gen::inRange(1, 4);
  for (int i = 0; i < damages; ++i) {
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
  }
  const CheckedRecords checked = CheckRecords("F", text, {});
  RC_ASSERT(checked.findings.empty() == (checked.records.size() == 4));
  RC_ASSERT(checked.findings.empty() || checked.records.empty());
}

TEST(RetirementTest, KeepsWhatIsStillNamed) {
  const std::vector<RecordEntry> known = KnownRecords();
  const RecordKey reads{RecordKind::kPriority, "reads", 1};
  const RecordKey proclaim{RecordKind::kService, "proclaim", 2};
  const std::string report = FormatFindings(CheckRetirement({reads}, known));
  EXPECT_NE(report.find("service/proclaim/v2:/routes/0/priority"), std::string::npos) << report;
  EXPECT_TRUE(CheckRetirement({reads, proclaim}, known).empty());
  EXPECT_TRUE(CheckRetirement({proclaim}, known).empty());
  EXPECT_EQ(CheckRetirement({{RecordKind::kService, "none", 1}}, known).size(), 1U);
}

}  // namespace
}  // namespace fireflyrun::records
