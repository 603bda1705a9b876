#include "records/configuration.h"

#include <gtest/gtest.h>

#include <string>

#include "records/record_book.h"

namespace fireflyrun::records {
namespace {

constexpr std::int64_t kRevision = 9;

RecordEntry Entry(RecordKind kind, const std::string& name, int schema, const std::string& fields) {
  const std::string body = R"({"kind":")" + std::string(kRecordKindNames.NameOf(kind)) +
                           R"(","name":")" + name + R"(","schema":)" + std::to_string(schema) +
                           "," + fields + "}";
  return {{kind, name, schema}, body, kRevision, false, "w"};
}

RecordEntry Service(const std::string& name, int schema, int deadline_ms,
                    const std::string& more = "") {
  return Entry(RecordKind::kService, name, schema,
               R"("priority":"low","retry_allowance":"std","idempotent":false,"deadline_ms":)" +
                   std::to_string(deadline_ms) + more);
}

class ConfigurationTest : public testing::Test {
 protected:
  std::shared_ptr<const Configuration> Build(std::vector<RecordEntry> entries) {
    entries.push_back(
        Entry(RecordKind::kPriority, "low", 1, R"("rank":40,"may_leave_region":false)"));
    entries.push_back(
        Entry(RecordKind::kPriority, "top", 1, R"("rank":0,"may_leave_region":true)"));
    entries.push_back(Entry(RecordKind::kRetryAllowance, "std", 1,
                            R"("retries_per_request":3,"success_ratio":0.1,"burst":20)"));
    RecordBook book;
    book.ApplyChangeSet({0, kRevision, std::move(entries)});
    return Configuration::Build(book);
  }
};

TEST_F(ConfigurationTest, ResolvesTheLongestRoute) {
  const auto configuration = this->Build({Service("s", 2, 100, R"(,"max_body_bytes":7,"routes":[
    {"method":"*","path":"/a","deadline_ms":200},
    {"method":"POST","path":"/a","priority":"top"},
    {"method":"*","path":"/a/b","idempotent":true,"deadline_ms":300}])")});
  EXPECT_TRUE(configuration->Problems().empty()) << FormatFindings(configuration->Problems());
  const auto deadline = [&](const char* method, const char* path) {
    return configuration->Find("s", method, path)->deadline.count();
  };
  EXPECT_EQ(deadline("GET", "/"), 100);
  EXPECT_EQ(deadline("GET", ""), 100);
  EXPECT_EQ(deadline("GET", "/ab"), 100);
  EXPECT_EQ(deadline("GET", "/a"), 200);
  EXPECT_EQ(deadline("GET", "/a?b=/a/b"), 200);
  EXPECT_EQ(deadline("POST", "/a/c"), 100);
  EXPECT_EQ(deadline("POST", "/a/b/c"), 300);
  const RoutePolicy* posted = configuration->Find("s", "POST", "/a");
  EXPECT_EQ(posted->class_name, "top");
  EXPECT_EQ(posted->rank, 0);
  EXPECT_TRUE(posted->may_leave_region);
  EXPECT_FALSE(posted->idempotent);
  EXPECT_EQ(posted->max_body_bytes, 7U);
  EXPECT_EQ(posted->retry.retries_per_request, 3);
  EXPECT_EQ(configuration->Find("t", "GET", "/"), nullptr);
}

TEST_F(ConfigurationTest, UsesTheHighestSchemaThatItUnderstands) {
  const auto configuration =
      this->Build({Service("s", 1, 100), Service("s", 2, 200), Service("s", 3, 300)});
  EXPECT_EQ(configuration->Find("s", "GET", "/")->deadline.count(), 200);
  EXPECT_TRUE(configuration->Problems().empty());
  EXPECT_EQ(configuration->Revision(), kRevision);
}

TEST_F(ConfigurationTest, LeavesOutRetiredRecords) {
  RecordEntry retired = Service("s", 2, 200);
  retired.retired = true;
  RecordEntry gone = Service("t", 1, 200);
  gone.retired = true;
  const auto configuration = this->Build({Service("s", 1, 100), retired, gone});
  EXPECT_EQ(configuration->Find("s", "GET", "/")->deadline.count(), 100);
  EXPECT_EQ(configuration->Find("t", "GET", "/"), nullptr);
  EXPECT_EQ(configuration->ServiceNames(), std::vector<std::string>{"s"});
}

TEST_F(ConfigurationTest, SkipsAndReportsWhatCannotBeUsed) {
  RecordEntry broken = Service("broken", 1, 100);
  broken.body = "{";
  RecordEntry misplaced = Service("one", 1, 100);
  misplaced.key.name = "other";
  const auto configuration =
      this->Build({broken, misplaced, Service("fallback", 1, 100), Service("fallback", 2, 1),
                   Service("too-new", 3, 100), Service("dangling", 2, 100, R"(,"routes":[
        {"method":"*","path":"/","priority":"none"}])"),
                   Service("good", 1, 100)});
  EXPECT_EQ(configuration->ServiceNames(), (std::vector<std::string>{"fallback", "good"}));
  EXPECT_EQ(configuration->Problems().size(), 5U) << FormatFindings(configuration->Problems());
  EXPECT_EQ(configuration->Find("fallback", "GET", "/")->deadline.count(), 100);
}

TEST_F(ConfigurationTest, ManyProblemsHideNoneOfTheRest) {
  std::vector<RecordEntry> entries;
  for (int i = 0; i < 300; ++i) {
    entries.push_back(Service("b" + std::to_string(i), 1, 100));
    entries.back().body = "{";
  }
  entries.push_back(Service("a-repeated", 1, 100, R"(,"deadline_ms":200)"));
  const auto configuration = this->Build(entries);
  EXPECT_EQ(configuration->Find("a-repeated", "GET", "/"), nullptr);
  EXPECT_EQ(configuration->Problems().size(), 301U);
}

}  // namespace
}  // namespace fireflyrun::records
