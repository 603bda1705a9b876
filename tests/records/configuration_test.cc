#include "records/configuration.h"

#include <gtest/gtest.h>

#include <string>

#include "records/record_book.h"
#include "records/record_limits.h"

namespace fireflyrun::records {
namespace {

constexpr std::int64_t kRevision = 9;
constexpr int kUnsupportedSchema = HighestSchema(RecordKind::kService) + 1;

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

RecordEntry Route(const std::string& name, const std::string& fields, const std::string& services,
                  const std::string& priority = "top") {
  return Entry(RecordKind::kRoute, name, 1,
               fields + R"("priority":")" + priority +
                   R"(","retry_allowance":"std","idempotent":true,"services":[)" + services + "]");
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

TEST_F(ConfigurationTest, ResolvesLongestMatchingServiceRoute) {
  const auto configuration = this->Build({Service("s", 2, 100, R"(,"max_body_bytes":7,"routes":[
    {"method":"*","path":"/a","deadline_ms":200},
    {"method":"POST","path":"/a","priority":"top"},
    {"method":"*","path":"/a/b","idempotent":true,"deadline_ms":300}])")});
  EXPECT_TRUE(configuration->Problems().empty()) << FormatFindings(configuration->Problems());
  const auto deadline = [&](const char* method, const char* path) {
    return configuration->FindCallPolicy("s", method, path)->deadline.count();
  };
  EXPECT_EQ(deadline("GET", "/"), 100);
  EXPECT_EQ(deadline("GET", ""), 100);
  EXPECT_EQ(deadline("GET", "/ab"), 100);
  EXPECT_EQ(deadline("GET", "/a"), 200);
  EXPECT_EQ(deadline("GET", "/a?b=/a/b"), 200);
  EXPECT_EQ(deadline("POST", "/a/c"), 100);
  EXPECT_EQ(deadline("POST", "/a/b/c"), 300);
  const CallPolicy* posted = configuration->FindCallPolicy("s", "POST", "/a");
  EXPECT_EQ(posted->class_name, "top");
  EXPECT_EQ(posted->rank, 0);
  EXPECT_TRUE(posted->may_leave_region);
  EXPECT_FALSE(posted->idempotent);
  EXPECT_EQ(posted->max_body_bytes, 7U);
  EXPECT_EQ(posted->retry.retries_per_request, 3);
  EXPECT_EQ(configuration->FindCallPolicy("t", "GET", "/"), nullptr);
}

TEST_F(ConfigurationTest, UsesHighestSupportedSchema) {
  const auto configuration =
      this->Build({Service("s", 1, 100), Service("s", 2, 200), Service("s", 3, 300),
                   Service("s", kUnsupportedSchema, 400), Service("t", 1, 100),
                   Service("t", 2, 200), Service("t", kUnsupportedSchema, 400)});
  EXPECT_EQ(configuration->FindCallPolicy("s", "GET", "/")->deadline.count(), 300);
  EXPECT_EQ(configuration->FindCallPolicy("t", "GET", "/")->deadline.count(), 200);
  EXPECT_TRUE(configuration->Problems().empty());
  EXPECT_EQ(configuration->Revision(), kRevision);
}

TEST_F(ConfigurationTest, LeavesOutRetiredRecords) {
  RecordEntry retired = Service("s", 2, 200);
  retired.retired = true;
  RecordEntry absent = Service("t", 1, 200);
  absent.retired = true;
  const auto configuration = this->Build({Service("s", 1, 100), retired, absent});
  EXPECT_EQ(configuration->FindCallPolicy("s", "GET", "/")->deadline.count(), 100);
  EXPECT_EQ(configuration->FindCallPolicy("t", "GET", "/"), nullptr);
  EXPECT_EQ(configuration->ServiceNames(), std::vector<std::string>{"s"});
}

TEST_F(ConfigurationTest, SkipsAndReportsUnusableRecords) {
  RecordEntry broken = Service("broken", 1, 100);
  broken.body = "{";
  RecordEntry misplaced = Service("one", 1, 100);
  misplaced.key.name = "other";
  const auto configuration = this->Build(
      {broken, misplaced, Service("fallback", 1, 100), Service("fallback", 2, 1),
       Service("too-new", kUnsupportedSchema, 100), Service("dangling", 2, 100, R"(,"routes":[
        {"method":"*","path":"/","priority":"none"}])"),
       Service("good", 1, 100)});
  EXPECT_EQ(configuration->ServiceNames(), (std::vector<std::string>{"fallback", "good"}));
  EXPECT_EQ(configuration->Problems().size(), 5U) << FormatFindings(configuration->Problems());
  EXPECT_EQ(configuration->FindCallPolicy("fallback", "GET", "/")->deadline.count(), 100);
}

TEST_F(ConfigurationTest, ReportsEveryProblemOfManyRecords) {
  std::vector<RecordEntry> entries;
  for (int i = 0; i < 300; ++i) {
    entries.push_back(Service("b" + std::to_string(i), 1, 100));
    entries.back().body = "{";
  }
  entries.push_back(Service("a-repeated", 1, 100, R"(,"deadline_ms":200)"));
  const auto configuration = this->Build(entries);
  EXPECT_EQ(configuration->FindCallPolicy("a-repeated", "GET", "/"), nullptr);
  EXPECT_EQ(configuration->Problems().size(), 301U);
}

TEST_F(ConfigurationTest, ResolvesServicesOfRoute) {
  const auto configuration = this->Build(
      {Service("calendar", 3, 100, R"(,"by_path":false,"health_path":"/up","max_connections":64)"),
       Service("proclaim", 1, 200),
       Route("split", R"("host":"A.example","prefix":"/p/","max_attempts":2,"timeout_ms":1200,
         "target_latency_ms":1500,)",
             R"({"service":"calendar","weight":90},{"service":"proclaim","weight":10})"),
       Route("plain", R"("prefix":"/",)", R"({"service":"proclaim","weight":1})")});
  EXPECT_TRUE(configuration->Problems().empty()) << FormatFindings(configuration->Problems());
  const RouteEntry* split = configuration->FindRoute("a.EXAMPLE:8080", "/p/x?q=/");
  ASSERT_NE(split, nullptr);
  EXPECT_EQ(split->weights, (std::vector<double>{90, 10}));
  ASSERT_EQ(split->policies.size(), 2U);
  EXPECT_EQ(split->policies[1].weight, 10);
  const CallPolicy& policy = split->policies[0].policy;
  EXPECT_EQ(policy.name, "split");
  EXPECT_EQ(policy.service, "calendar");
  EXPECT_EQ(policy.class_name, "top");
  EXPECT_TRUE(policy.idempotent);
  EXPECT_EQ(policy.max_attempts, 2);
  EXPECT_EQ(policy.deadline.count(), 1200);
  EXPECT_EQ(policy.timeout, std::chrono::milliseconds(1200));
  EXPECT_EQ(policy.target_latency, std::chrono::milliseconds(1500));
  EXPECT_EQ(policy.retry.burst, 20);
  const RouteEntry* plain = configuration->FindRoute("a.example", "/p");
  ASSERT_NE(plain, nullptr);
  EXPECT_EQ(plain->policies[0].policy.max_attempts, 1);
  EXPECT_EQ(plain->policies[0].policy.deadline.count(), 200);
  EXPECT_EQ(plain->policies[0].policy.timeout, std::nullopt);
  EXPECT_EQ(configuration->FindCallPolicy("proclaim", "GET", "/")->max_attempts, 0);
}

/// Guards against a route that is left out because its weights are no whole numbers.
TEST_F(ConfigurationTest, SecondSchemaOfRoutesTakesAnyWeights) {
  const std::string services =
      R"({"service":"calendar","weight":0.4},{"service":"proclaim","weight":1e300})";
  RecordEntry second = Route("split", R"("prefix":"/p/",)", services);
  second.key.schema = 2;
  second.body.replace(second.body.find(R"("schema":1)"), 10, R"("schema":2)");
  const auto configuration =
      this->Build({Service("calendar", 1, 100), Service("proclaim", 1, 200), second,
                   Route("split", R"("prefix":"/old/",)", R"({"service":"calendar","weight":1})")});
  EXPECT_TRUE(configuration->Problems().empty()) << FormatFindings(configuration->Problems());
  const RouteEntry* split = configuration->FindRoute("h", "/p/");
  ASSERT_NE(split, nullptr);
  EXPECT_EQ(split->weights, (std::vector<double>{0.4, 1e300}));
  EXPECT_EQ(configuration->FindRoute("h", "/old/"), nullptr);
}

TEST_F(ConfigurationTest, FindsServicePolicyOfServicesWithoutPathAccess) {
  const auto configuration = this->Build(
      {Service("hidden", 3, 100, R"(,"by_path":false,"health_path":"/up","max_connections":64)"),
       Service("old", 1, 100)});
  EXPECT_EQ(configuration->FindCallPolicy("hidden", "GET", "/"), nullptr);
  const ServicePolicy* hidden = configuration->FindServicePolicy("hidden");
  ASSERT_NE(hidden, nullptr);
  EXPECT_EQ(hidden->health_path, "/up");
  EXPECT_EQ(hidden->max_connections, 64);
  ASSERT_NE(configuration->FindServicePolicy("old"), nullptr);
  EXPECT_TRUE(configuration->FindServicePolicy("old")->by_path);
  EXPECT_EQ(configuration->FindServicePolicy("old")->max_connections, std::nullopt);
  EXPECT_EQ(configuration->FindServicePolicy("none"), nullptr);
}

/// Guards against calls of a route, or of one of its services, that run elsewhere because a record
/// can't be used.
TEST_F(ConfigurationTest, UnusableRoutesAndSharesRefuseTheirCalls) {
  const std::string good = R"({"service":"good","weight":2})";
  const std::string absent = R"({"service":"gone","weight":3})";
  const auto configuration = this->Build(
      {Service("good", 1, 100), Route("a", R"("prefix":"/a/",)", absent),
       Route("b", R"("prefix":"/b/",)", absent + "," + good),
       Route("c", R"("prefix":"/c/",)", absent + R"(,{"service":"good","weight":0})"),
       Route("d", R"("prefix":"/b/",)", good), Route("e", R"("prefix":"/e/",)", good, "none"),
       Route("root", R"("prefix":"/",)", good)});
  const RouteEntry* absent_only = configuration->FindRoute("h", "/a/");
  ASSERT_NE(absent_only, nullptr);
  EXPECT_EQ(absent_only->name, "a");
  ASSERT_EQ(absent_only->policies.size(), 1U);
  EXPECT_FALSE(absent_only->policies[0].refusal.empty());
  const RouteEntry* kept = configuration->FindRoute("h", "/b/");
  ASSERT_NE(kept, nullptr);
  EXPECT_EQ(kept->name, "b");
  EXPECT_EQ(kept->weights, (std::vector<double>{3, 2}));
  EXPECT_FALSE(kept->policies[0].refusal.empty());
  EXPECT_TRUE(kept->policies[1].refusal.empty());
  const RouteEntry* without_weight = configuration->FindRoute("h", "/c/");
  ASSERT_NE(without_weight, nullptr);
  EXPECT_EQ(without_weight->weights, (std::vector<double>{3, 0}));
  EXPECT_FALSE(without_weight->policies[0].refusal.empty());
  const RouteEntry* without_priority = configuration->FindRoute("h", "/e/");
  ASSERT_NE(without_priority, nullptr);
  EXPECT_EQ(without_priority->name, "e");
  EXPECT_FALSE(without_priority->refusal.empty());
  const std::string report = FormatFindings(configuration->Problems());
  for (const char* problem :
       {"route/a/v1: names the service \"gone\"", "route/b/v1: names the service \"gone\"",
        "route/c/v1: names the service \"gone\"", "route/d/v1: is left out",
        "route/e/v1: names the priority \"none\"", "route/e/v1: refuses its calls"}) {
    EXPECT_NE(report.find(problem), std::string::npos) << problem << " in\n" << report;
  }
  EXPECT_EQ(report.find("route/b/v1: is left out"), std::string::npos) << report;
}

/// Guards against a route that is left out since its record can't be read, or has a schema of a
/// later build: a shorter prefix took its calls.
TEST_F(ConfigurationTest, RoutesWhoseRecordsCannotBeReadKeepTheirPlace) {
  constexpr int kLaterSchema = HighestSchema(RecordKind::kRoute) + 1;
  const std::string good = R"({"service":"good","weight":1})";
  RecordEntry later = Entry(RecordKind::kRoute, "later", kLaterSchema,
                            R"("host":"h","prefix":"/later/","colour":"blue")");
  RecordEntry lost = Entry(RecordKind::kRoute, "lost", kLaterSchema, R"("host":"h","prefix":7)");
  const auto configuration =
      this->Build({Service("good", 1, 100), Route("root", R"("prefix":"/",)", good),
                   Route("odd", R"("prefix":"/odd/","max_attempts":"two",)", good), later, lost,
                   Route("both", R"("prefix":"/both/",)", good),
                   Entry(RecordKind::kRoute, "both", kLaterSchema, R"("prefix":"/other/")"),
                   Entry(RecordKind::kRoute, "closed", kAnyPrefixSchema,
                         R"("prefix":"/closed","refusal":"closed for the audit")")});
  const auto refusal = [&](const char* path) {
    const RouteEntry* route = configuration->FindRoute("h", path);
    return route == nullptr ? "no route" : route->name + ": " + route->refusal;
  };
  EXPECT_EQ(refusal("/odd/x"), "odd: its record can't be used");
  EXPECT_EQ(refusal("/later/x"), "later: its record can't be used");
  EXPECT_EQ(refusal("/both/x"), "both: ") << "the lower schema of the name is in force";
  EXPECT_EQ(refusal("/closed/x"), "closed: closed for the audit");
  EXPECT_EQ(refusal("/x"), "root: ");
  const std::string report = FormatFindings(configuration->Problems());
  EXPECT_NE(report.find("route/lost/v4: is left out"), std::string::npos) << report;
}

/// Guards against a route that is left out for the length or the bytes of its prefix or host, or
/// for the number of its services.
TEST_F(ConfigurationTest, ThirdSchemaOfRoutesTakesAnyPrefixHostAndNumberOfServices) {
  const std::string long_prefix = "/" + std::string(700, 'p') + "/";
  const std::string long_host = std::string(300, 'h') + ".example";
  std::vector<RecordEntry> entries = {Service("good", 1, 100)};
  std::string services = R"({"service":"good","weight":0.5})";
  for (int i = 0; i < 1200; ++i) {
    const std::string name = "s" + std::to_string(i);
    entries.push_back(Service(name, 1, 100));
    services += R"(,{"service":")" + name + R"(","weight":1})";
  }
  const auto route = [](const std::string& name, const std::string& host, const std::string& prefix,
                        const std::string& parts) {
    return Entry(
        RecordKind::kRoute, name, kAnyPrefixSchema,
        R"("host":")" + host + R"(","prefix":")" + prefix +
            R"(","priority":"top","retry_allowance":"std","idempotent":true,"services":[)" + parts +
            "]");
  };
  const std::string good = R"({"service":"good","weight":1})";
  entries.push_back(route("long", "h", long_prefix, good));
  entries.push_back(route("letters", "h", "/\xC3\xA4 x/", good));
  entries.push_back(route("host", long_host, "/", good));
  entries.push_back(route("port", "h:8080", "/", good));
  entries.push_back(route("split", "h", "/split/", services));
  const auto configuration = this->Build(entries);
  EXPECT_TRUE(configuration->Problems().empty()) << FormatFindings(configuration->Problems());
  const auto name = [&](const std::string& host, const std::string& path) {
    const RouteEntry* found = configuration->FindRoute(host, path);
    return found == nullptr ? "" : found->name;
  };
  EXPECT_EQ(name("h", long_prefix + "x"), "long");
  EXPECT_EQ(name("h", "/\xC3\xA4 x/y"), "letters");
  EXPECT_EQ(name(long_host + ".:80", "/x"), "host");
  EXPECT_EQ(name("h:8080", "/x"), "port");
  EXPECT_EQ(name("h:80", "/x"), "");
  EXPECT_EQ(name("h:8080", "/split/x"), "port") << "a host with its port goes before one without";
  const RouteEntry* split = configuration->FindRoute("h", "/split/x");
  ASSERT_NE(split, nullptr);
  EXPECT_EQ(split->policies.size(), 1201U);
}

TEST_F(ConfigurationTest, AppliesCallerLimits) {
  const auto unlimited = this->Build({Service("s", 1, 100)});
  EXPECT_EQ(unlimited->Limits(), CallerLimits{});
  EXPECT_EQ(unlimited->FindCallPolicy("s", "GET", "/")->max_body_bytes, kDefaultMaxBodyBytes);
  const auto limited =
      this->Build({Service("s", 1, 100), Service("t", 2, 100, R"(,"max_body_bytes":7)"),
                   Entry(RecordKind::kLimits, "default", 1, R"("max_header_bytes":16384,
         "max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000)")});
  EXPECT_EQ(limited->Limits(),
            (CallerLimits{16384, 67108864, std::chrono::seconds(3), std::chrono::seconds(15)}));
  EXPECT_EQ(limited->FindCallPolicy("s", "GET", "/")->max_body_bytes, 67108864U);
  EXPECT_EQ(limited->FindCallPolicy("t", "GET", "/")->max_body_bytes, 7U);
}

}  // namespace
}  // namespace fireflyrun::records
