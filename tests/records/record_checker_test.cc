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

std::vector<RecordEntry> StoredRecords() {
  std::vector<RecordEntry> known;
  for (const Record& record : CheckRecords("F", kGoodFile, {}).records) {
    known.push_back({record.key, record.body, 5, false, "w"});
  }
  return known;
}

TEST(RecordCheckerTest, AcceptsValidFile) {
  EXPECT_EQ(Check(kGoodFile), "");
  EXPECT_EQ(CheckRecords("F", kGoodFile, {}).records.size(), 4U);
}

TEST(RecordCheckerTest, ReportsAllFindingsOfFileAtOnce) {
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

TEST(RecordCheckerTest, RejectsReservedServiceName) {
  const std::string report = Check(R"([
    {"kind":"priority","schema":1,"name":"p","rank":1,"may_leave_region":true},
    {"kind":"retry_allowance","schema":1,"name":"r","retries_per_request":1,"success_ratio":0.1,
     "burst":1},
    {"kind":"service","schema":1,"name":"tickets","priority":"p","retry_allowance":"r",
     "deadline_ms":50,"idempotent":true}])");
  EXPECT_NE(report.find("F:/2/name: is \"tickets\""), std::string::npos) << report;
}

TEST(RecordCheckerTest, ReportsInvalidServiceRoutes) {
  const std::string report = Check(R"({"kind":"service","schema":2,"name":"s","priority":"reads",
    "retry_allowance":"standard","deadline_ms":50,"idempotent":true,"max_body_bytes":-1,"routes":[
    {"method":"get","path":"a/","priority":"none"},{"method":"*","path":"/"},
    {"method":"*","path":"/"},{"method":"*","path":"/a","rank":1},[]]})",
                                   StoredRecords());
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
  EXPECT_NE(report.find("F:/1: repeats priority/p/v1, which is first defined at F:/0"),
            std::string::npos)
      << report;
}

TEST(RecordCheckerTest, RejectsReferencesToRetiredRecords) {
  std::vector<RecordEntry> known = StoredRecords();
  const std::string service = R"({"kind":"service","schema":1,"name":"s","priority":"reads",
    "retry_allowance":"standard","deadline_ms":50,"idempotent":true})";
  EXPECT_EQ(Check(service, known), "");
  for (RecordEntry& entry : known) entry.retired = entry.key.name == "reads";
  EXPECT_NE(Check(service, known).find("F:/priority: names"), std::string::npos);
}

TEST(RecordCheckerTest, RejectsMalformedAndOversizedText) {
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

/// The text of a route record with `fields`, and `services` as the elements of its service list.
std::string RouteText(const std::string& fields, const std::string& services) {
  return R"({"kind":"route","schema":1,"priority":"reads","retry_allowance":"standard",)"
         R"("idempotent":true,)" +
         fields + R"(,"services":[)" + services + "]}";
}

TEST(RecordCheckerTest, AcceptsRoutesLimitsAndServiceSchema3) {
  const std::string half = R"({"service":"proclaim","weight":1000})";
  EXPECT_EQ(Check("[" + RouteText(R"("name":"a","prefix":"/")", half) + "," +
                      RouteText(R"("name":"b","host":"[2001:db8::1]","prefix":"/b/",
                                "max_attempts":10,"timeout_ms":10,"target_latency_ms":1)",
                                half + R"(,{"service":"desk","weight":0})") +
                      R"(,{"kind":"limits","schema":1,"name":"default","max_header_bytes":1024,
                      "max_body_bytes":0,"header_timeout_ms":100,"idle_timeout_ms":3600000},
                      {"kind":"service","schema":3,"name":"desk","priority":"reads",
                      "retry_allowance":"standard","deadline_ms":50,"idempotent":true,
                      "by_path":false,"health_path":"/","max_connections":100000}])",
                  StoredRecords()),
            "");
}

TEST(RecordCheckerTest, ReportsInvalidRouteLimitsAndServiceRecords) {
  const std::string report = Check(
      "[" +
          RouteText(R"("name":"a","host":"x:80","prefix":"/p","max_attempts":11,"timeout_ms":9,
                    "target_latency_ms":0)",
                    R"({"service":"none","weight":1001},{"service":"none","weight":0},7)") +
          "," + RouteText(R"("name":"b","prefix":"p/")", R"({"service":"proclaim","weight":0})") +
          "," + RouteText(R"("name":"c","prefix":"/?/","x":1)", "") +
          R"(,{"kind":"limits","schema":1,"name":"other","max_header_bytes":1023,
          "max_body_bytes":-1,"header_timeout_ms":99},
          {"kind":"service","schema":3,"name":"desk","priority":"reads",
          "retry_allowance":"standard","deadline_ms":50,"idempotent":true,"by_path":1,
          "health_path":"up","max_connections":0}])",
      StoredRecords());
  for (const char* place : {"F:/0/host: is x:80",
                            "F:/0/prefix: is /p;",
                            "F:/0/max_attempts: is 11",
                            "F:/0/timeout_ms: is 9",
                            "F:/0/target_latency_ms: is 0",
                            "F:/0/services/0/weight: is 1001",
                            "F:/0/services/1: repeats",
                            "F:/0/services/2: is no service",
                            "F:/1/prefix: is p/",
                            "F:/1/services: has no weight",
                            "F:/2/prefix: is /?/",
                            "F:/2/services: has 0",
                            "F:/2/x: is no field",
                            "F:/3/name: is other",
                            "F:/3/max_header_bytes: is 1023",
                            "F:/3/max_body_bytes: is -1",
                            "F:/3/header_timeout_ms: is 99",
                            "F:/3/idle_timeout_ms: is missing",
                            "F:/4/by_path: is 1",
                            "F:/4/health_path: is up",
                            "F:/4/max_connections: is 0"}) {
    EXPECT_NE(report.find(place), std::string::npos) << place << " in\n" << report;
  }
}

TEST(RecordCheckerTest, ChecksReferencesAndSelectorsOfRoutes) {
  std::vector<RecordEntry> known = StoredRecords();
  const std::string weighted_service = R"({"service":"proclaim","weight":1})";
  EXPECT_NE(Check(RouteText(R"("name":"a","prefix":"/")", weighted_service))
                .find("F:/services/0/service: names"),
            std::string::npos);
  const auto route = CheckRecords(
      "F", RouteText(R"("name":"a","host":"X","prefix":"/")", weighted_service), known);
  ASSERT_EQ(route.records.size(), 1U) << FormatFindings(route.findings);
  known.push_back({route.records[0].key, route.records[0].body, 6, false, "w"});
  EXPECT_NE(FormatFindings(CheckRetirement({{RecordKind::kService, "proclaim", 2}}, known))
                .find("route/a/v1:/services/0/service"),
            std::string::npos);
  const std::string same = R"("host":"x","prefix":"/")";
  EXPECT_EQ(Check(RouteText(R"("name":"a",)" + same, weighted_service), known), "");
  const std::string report =
      Check("[" + RouteText(R"("name":"b",)" + same, weighted_service) + "]", known);
  EXPECT_NE(report.find("F:/0/prefix: has the same host and prefix as the route \"a\""),
            std::string::npos)
      << report;
}

RC_GTEST_PROP(RecordCheckerTest, NeverAcceptsPartOfCorruptFile, ()) {
  std::string text = kGoodFile;
  const int corrupt_bytes = *rc::gen::inRange(1, 4);
  for (int i = 0; i < corrupt_bytes; ++i) {
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
  }
  const CheckedRecords checked = CheckRecords("F", text, {});
  RC_ASSERT(checked.findings.empty() == (checked.records.size() == 4));
  RC_ASSERT(checked.findings.empty() || checked.records.empty());
}

TEST(RetirementTest, RejectsRecordsThatAreStillReferenced) {
  const std::vector<RecordEntry> known = StoredRecords();
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
