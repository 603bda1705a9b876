#include "platform/configuration_translator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "platform/record_names.h"
#include "policy/weighted_round_robin.h"
#include "records/configuration.h"
#include "records/record_book.h"
#include "records/record_key.h"
#include "records/record_parser.h"
#include "records/transfer.h"

namespace fireflyrun::platform {
namespace {

using Json = nlohmann::json;

Json GoodConfiguration() {
  return Json::parse(R"({"version":7,"routes":{
    "r-89anu6w":{"host":"jepu9.example","prefix":"/puka111/","kind":"unsafe","timeoutS":1.5,
      "targetLatencyS":1.5,"priority":0,"service":"huvo11a","maxAttempts":2,"weightedServices":null},
    "r-ctnfzs9":{"host":"hulo84.example","prefix":"/leny950/","kind":"safe","timeoutS":1.2,
      "targetLatencyS":1.5,"priority":2,"weightedServices":[{"service":"lovo22d","weight":10},
      {"service":"huvo11a","weight":90}],"maxAttempts":2}},
    "services":{"huvo11a":{"healthPath":"/healthz","maxConns":718,"protocol":"h1","tls":false},
      "lovo22d":{"healthPath":"/healthz","maxConns":250}},
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,
      "idleTimeoutS":15}})");
}

auto Translate(const Json& configuration) {
  return TranslateConfiguration(configuration.dump(), {});
}

/// The record's body; null if there is no such record.
Json Body(const TranslatedConfiguration& translated, const std::string& key) {
  for (const TranslatedRecord& record : translated.records) {
    if (record.key == key) return Json::parse(record.body);
  }
  return nullptr;
}

/// Checks that each record of a kind and schema that this build supports parses and is canonical.
void ExpectParsable(const TranslatedConfiguration& translated) {
  for (const TranslatedRecord& record : translated.records) {
    const auto key = records::ParseRecordKey(record.key);
    if (!key || key->schema > records::HighestSchema(key->kind)) continue;
    Findings findings;
    const auto parsed = records::ParseRecord(Json::parse(record.body), "F:/", findings);
    ASSERT_TRUE(parsed.has_value()) << record.key << ' ' << FormatFindings(findings);
    EXPECT_EQ(parsed->key, *key);
    EXPECT_EQ(parsed->body, record.body) << "the translated text is not canonical";
  }
}

TEST(ConfigurationTranslatorTest, TranslatesServicesRoutesRanksAndLimits) {
  const auto translated = Translate(GoodConfiguration());
  ASSERT_TRUE(translated.has_value());
  ExpectParsable(*translated);
  EXPECT_EQ(translated->revision, 8);
  EXPECT_TRUE(translated->notices.empty()) << FormatFindings(translated->notices);
  std::vector<std::string> keys;
  for (const TranslatedRecord& record : translated->records) keys.push_back(record.key);
  EXPECT_EQ(keys, (std::vector<std::string>{"limits/default/v1", "priority/rank-0/v1",
                                            "priority/rank-2/v1", "retry_allowance/standard/v1",
                                            "route/r-89anu6w/v1", "route/r-ctnfzs9/v1",
                                            "service/huvo11a/v3", "service/lovo22d/v3"}));
  EXPECT_EQ(Body(*translated, "service/huvo11a/v3"),
            Json::parse(R"({"kind":"service","schema":3,"name":"huvo11a","priority":"rank-0",
              "retry_allowance":"standard","deadline_ms":60000,"idempotent":false,"by_path":false,
              "health_path":"/healthz","max_connections":718})"));
  EXPECT_EQ(Body(*translated, "route/r-ctnfzs9/v1"),
            Json::parse(R"({"kind":"route","schema":1,"name":"r-ctnfzs9","host":"hulo84.example",
              "prefix":"/leny950/","services":[{"service":"huvo11a","weight":90},
              {"service":"lovo22d","weight":10}],"priority":"rank-2","retry_allowance":"standard",
              "idempotent":true,"max_attempts":2,"timeout_ms":1200,"target_latency_ms":1500})"));
  EXPECT_EQ(Body(*translated, "route/r-89anu6w/v1")["services"],
            Json::parse(R"([{"service":"huvo11a","weight":1}])"));
  EXPECT_EQ(Body(*translated, "limits/default/v1"),
            Json::parse(R"({"kind":"limits","schema":1,"name":"default","max_header_bytes":16384,
              "max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000})"));
}

TEST(ConfigurationTranslatorTest, RetryAllowanceHasBurstOfOneAndGivenSuccessRatio) {
  TranslationDefaults defaults;
  defaults.retry_success_ratio = 0.03;
  const auto translated = TranslateConfiguration(GoodConfiguration().dump(), defaults);
  ASSERT_TRUE(translated.has_value());
  const Json allowance = Body(*translated, "retry_allowance/standard/v1");
  EXPECT_EQ(allowance["burst"], 1);
  EXPECT_EQ(allowance["success_ratio"], 0.03);
}

TEST(ConfigurationTranslatorTest, OnlySafeRoutesAreIdempotent) {
  for (const Json& kind : {Json("unsafe"), Json("upload"), Json("later-kind"), Json("Safe"),
                           Json(nullptr), Json("safe")}) {
    Json configuration = GoodConfiguration();
    configuration["routes"]["r-ctnfzs9"]["kind"] = kind;
    const auto translated = Translate(configuration);
    ASSERT_TRUE(translated.has_value());
    EXPECT_EQ(Body(*translated, "route/r-ctnfzs9/v1")["idempotent"], kind == "safe") << kind;
  }
}

TEST(ConfigurationTranslatorTest, OmitsAbsentFieldsAndClampsNumbers) {
  Json configuration = GoodConfiguration();
  configuration["laterField"] = Json::array();
  configuration["limits"] = nullptr;
  Json& route = configuration["routes"]["r-89anu6w"];
  for (const char* field : {"timeoutS", "targetLatencyS", "priority", "maxAttempts"}) {
    route[field] = nullptr;
  }
  Json& other = configuration["routes"]["r-ctnfzs9"];
  other["maxAttempts"] = 99;
  other["priority"] = -3;
  other["timeoutS"] = 1e300;
  other["laterField"] = {{"a", 1}};
  const auto translated = Translate(configuration);
  ASSERT_TRUE(translated.has_value());
  ExpectParsable(*translated);
  EXPECT_TRUE(Body(*translated, "limits/default/v1").is_null());
  const Json body = Body(*translated, "route/r-89anu6w/v1");
  EXPECT_FALSE(body.contains("timeout_ms") || body.contains("target_latency_ms"));
  EXPECT_EQ(body["max_attempts"], 1);
  const Json bounded = Body(*translated, "route/r-ctnfzs9/v1");
  EXPECT_EQ(bounded["max_attempts"], 10);
  EXPECT_EQ(bounded["priority"], "rank-0");
  EXPECT_EQ(bounded["timeout_ms"], 600'000);
  // For the missing limits and the three clamped numbers.
  EXPECT_EQ(translated->notices.size(), 4U) << FormatFindings(translated->notices);
}

Json Split(const std::vector<std::pair<std::string, double>>& services) {
  Json list = Json::array();
  for (const auto& [service, weight] : services) {
    list.push_back({{"service", service}, {"weight", weight}});
  }
  return list;
}

/// The weight by service of a translated route.
std::map<std::string, double> WeightsOf(const Json& route) {
  std::map<std::string, double> weights;
  for (const Json& item : route["services"]) weights[item["service"]] = item["weight"];
  return weights;
}

/// Guards against weights that are rounded or clamped: the whole version was refused, or a service
/// got another share, or none.
TEST(ConfigurationTranslatorTest, KeepsWeightsThatAreNotWholeOrNotSmall) {
  Json configuration = GoodConfiguration();
  Json& routes = configuration["routes"];
  for (const char* name : {"thirds", "halves", "wide", "twice"}) {
    routes[name] = routes["r-ctnfzs9"];
    routes[name]["prefix"] = std::string("/") + name + "/";
  }
  routes["thirds"]["weightedServices"] = Split({{"a", 0.4}, {"b", 0.35}, {"c", 0.25}});
  routes["halves"]["weightedServices"] = Split({{"a", 0.6}, {"b", 0.4}});
  routes["wide"]["weightedServices"] = Split({{"a", 5000}, {"b", 1000}, {"c", 1e-9}});
  routes["twice"]["weightedServices"] = Split({{"a", 0.5}, {"b", 1}, {"a", 0.5}});
  const auto translated = Translate(configuration);
  ASSERT_TRUE(translated.has_value()) << FormatFindings(translated.error());
  ExpectParsable(*translated);
  using Weights = std::map<std::string, double>;
  EXPECT_EQ(WeightsOf(Body(*translated, "route/thirds/v2")),
            (Weights{{"a", 0.4}, {"b", 0.35}, {"c", 0.25}}));
  EXPECT_EQ(WeightsOf(Body(*translated, "route/halves/v2")), (Weights{{"a", 0.6}, {"b", 0.4}}));
  EXPECT_EQ(WeightsOf(Body(*translated, "route/wide/v2")),
            (Weights{{"a", 5000}, {"b", 1000}, {"c", 1e-9}}));
  EXPECT_EQ(WeightsOf(Body(*translated, "route/twice/v1")), (Weights{{"a", 1}, {"b", 1}}));
  EXPECT_FALSE(Body(*translated, "route/r-ctnfzs9/v1").is_null()) << "whole weights stay as before";
}

/// Guards against priorities above the highest rank that are merged.
TEST(ConfigurationTranslatorTest, KeepsTheOrderOfPrioritiesThatAreNoRanks) {
  Json configuration = GoodConfiguration();
  Json& routes = configuration["routes"];
  routes["r-89anu6w"]["priority"] = 100;
  routes["r-ctnfzs9"]["priority"] = 70.5;
  routes["first"] = routes["r-ctnfzs9"];
  routes["first"]["prefix"] = "/first/";
  routes["first"]["priority"] = nullptr;
  const auto translated = Translate(configuration);
  ASSERT_TRUE(translated.has_value());
  ExpectParsable(*translated);
  EXPECT_EQ(Body(*translated, "route/first/v1")["priority"], "rank-0");
  EXPECT_EQ(Body(*translated, "route/r-ctnfzs9/v1")["priority"], "rank-1");
  EXPECT_EQ(Body(*translated, "route/r-89anu6w/v1")["priority"], "rank-2");
  EXPECT_FALSE(translated->notices.empty());
}

/// Guards against a service, and all its routes, that is left out for the path of its health.
TEST(ConfigurationTranslatorTest, KeepsServicesWhoseHealthPathIsNotUsable) {
  Json configuration = GoodConfiguration();
  configuration["services"]["huvo11a"]["healthPath"] = "/healthz?full=1";
  const auto translated = Translate(configuration);
  ASSERT_TRUE(translated.has_value());
  ExpectParsable(*translated);
  EXPECT_FALSE(Body(*translated, "service/huvo11a/v3").contains("health_path"));
  ASSERT_EQ(translated->notices.size(), 1U);
  EXPECT_EQ(translated->notices[0].place, "op/config:/services/huvo11a/healthPath");
}

rc::Gen<double> GenWeight() {
  const auto fraction =
      rc::gen::map(rc::gen::inRange(1, 1'000'001), [](int millionths) { return millionths / 1e6; });
  const auto whole = rc::gen::cast<double>(rc::gen::inRange(0, 2'000'000));
  const auto scaled = rc::gen::apply(
      [](double mantissa, int exponent) { return mantissa * std::pow(10, exponent); }, fraction,
      rc::gen::inRange(-30, 30));
  return rc::gen::oneOf(fraction, whole, scaled);
}

/// A route of one to forty services, at least one with a weight above 0.
Json GenRoute(int number) {
  const auto count = *rc::gen::inRange(1, 41);
  Json list = Split({{"s0", *rc::gen::suchThat(GenWeight(), [](double w) { return w > 0; })}});
  for (int i = 1; i < count; ++i) {
    const std::string service = "s" + std::to_string(*rc::gen::inRange(0, 40));
    list.push_back({{"service", service}, {"weight", *GenWeight()}});
  }
  const double timeout = *rc::gen::inRange(1, 4'000'000) / 1000.0;
  const double priority = *rc::gen::oneOf(rc::gen::cast<double>(rc::gen::inRange(0, 5)),
                                          rc::gen::cast<double>(rc::gen::inRange(0, 5000)));
  return {{"host", "h.example"},
          {"prefix", "/p" + std::to_string(number) + "/"},
          {"kind", *rc::gen::element<std::string>("safe", "unsafe", "upload")},
          {"timeoutS", timeout},
          {"targetLatencyS", timeout / 2},
          {"priority", priority},
          {"maxAttempts", *rc::gen::inRange(1, 100)},
          {"weightedServices", list}};
}

/// The records of a translated version, in force.
std::shared_ptr<const records::Configuration> InForce(const TranslatedConfiguration& translated) {
  records::Transfer transfer{0, 1, {}};
  for (const TranslatedRecord& record : translated.records) {
    transfer.entries.push_back({*records::ParseRecordKey(record.key), record.body, 1, false, ""});
  }
  records::RecordBook book;
  book.MergeTransfer(transfer);
  return records::Configuration::Build(book);
}

/// Picks `calls` services for a route and checks that each is picked in proportion.
void CheckShares(const records::RouteEntry& route, const Json& list, int calls) {
  std::map<std::string, double> weights;
  double total = 0;
  for (const Json& item : list) {
    weights[item["service"]] += item["weight"].get<double>();
    total += item["weight"].get<double>();
  }
  std::map<std::string, int> counts;
  policy::WeightedRoundRobin round_robin([](std::uint64_t bound) { return bound / 2; });
  for (int call = 0; call < calls; ++call) {
    counts[route.policies[round_robin.Pick(route.name, route.weights)].policy.service] += 1;
  }
  for (const auto& [service, weight] : weights) {
    RC_ASSERT(std::abs(counts[service] - weight / total * calls) <= 0.01 * calls);
  }
}

/// Guards against the whole family: a valid version that isn't in force whole, or with other
/// proportions or another order than the operator wrote.
RC_GTEST_PROP(ConfigurationTranslatorTest, ValidVersionsAreInForceWhole, ()) {
  constexpr int kCalls = 10'000;
  Json configuration = {{"version", *rc::gen::inRange(1, 1'000'000)},
                        {"routes", Json::object()},
                        {"services", Json::object()}};
  for (int i = 0; i < 40; ++i) {
    configuration["services"]["s" + std::to_string(i)] = {
        {"healthPath", "/healthz"}, {"maxConns", *rc::gen::inRange(1, 200'000)}};
  }
  const int count = *rc::gen::inRange(1, 6);
  for (int i = 0; i < count; ++i) {
    configuration["routes"]["r" + std::to_string(i)] = GenRoute(i);
  }
  const auto translated = Translate(configuration);
  RC_ASSERT(translated.has_value());
  const auto in_force = InForce(*translated);
  RC_ASSERT(in_force->Problems().empty());
  std::map<double, std::set<int>> ranks;
  for (const Json& route : configuration["routes"]) {
    const auto* entry = in_force->FindRoute("h.example", route["prefix"].get<std::string>() + "x");
    RC_ASSERT(entry != nullptr);
    CheckShares(*entry, route["weightedServices"], kCalls);
    ranks[route["priority"].get<double>()].insert(entry->policies[0].policy.rank);
  }
  int highest = -1;
  for (const auto& [priority, rank] : ranks) {
    RC_ASSERT(rank.size() == 1U);
    RC_ASSERT(*rank.begin() > highest);
    highest = *rank.begin();
  }
}

TEST(ConfigurationTranslatorTest, AcceptsVersionWithInvalidRecordNames) {
  Json configuration = GoodConfiguration();
  Json& routes = configuration["routes"];
  routes["Odd_1"] = routes["r-89anu6w"];
  routes["Odd_1"]["service"] = "Not Described";
  routes["9"] = routes["r-89anu6w"];
  const auto translated = Translate(configuration);
  ASSERT_TRUE(translated.has_value());
  ExpectParsable(*translated);
  EXPECT_EQ(Body(*translated, "route/x---4fdd-5f1/v1")["services"][0]["service"],
            RecordNameOf("Not Described"));
  EXPECT_FALSE(Body(*translated, "service/" + RecordNameOf("Not Described") + "/v3").is_null());
  EXPECT_FALSE(Body(*translated, "route/x--9/v1").is_null());
  EXPECT_FALSE(translated->notices.empty());
}

/// The findings of `notices` whose place begins with `place`.
Findings At(const Findings& notices, const std::string& place) {
  Findings found;
  std::ranges::copy_if(notices, std::back_inserter(found),
                       [&](const Finding& notice) { return notice.place.starts_with(place); });
  return found;
}

/// Guards against a service or limit of the wrong type that holds the whole version back.
TEST(ConfigurationTranslatorTest, WrongServicesAndLimitsCostThemselvesOnly) {
  const std::vector<std::pair<std::string, Json>> wrong = {
      {"/services", 1},
      {"/limits", "none"},
      {"/limits/idleTimeoutS", "15"},
      {"/services/huvo11a", Json::array()},
      {"/services/huvo11a/maxConns", true},
      {"/services/huvo11a/healthPath", 7},
  };
  const auto before = Translate(GoodConfiguration());
  ASSERT_TRUE(before.has_value());
  for (const auto& [place, value] : wrong) {
    Json configuration = GoodConfiguration();
    configuration[Json::json_pointer(place)] = value;
    const auto translated = Translate(configuration);
    ASSERT_TRUE(translated.has_value()) << place << " = " << value;
    ExpectParsable(*translated);
    EXPECT_FALSE(At(translated->notices, "op/config:" + place).empty())
        << place << " = " << value << ": " << FormatFindings(translated->notices);
    for (const char* key : {"route/r-89anu6w/v1", "route/r-ctnfzs9/v1", "service/lovo22d/v3"}) {
      const bool is_service = place == "/services" && std::string(key).starts_with("service");
      if (is_service) continue;
      EXPECT_EQ(Body(*translated, key), Body(*before, key)) << place << " = " << value;
    }
    EXPECT_FALSE(Body(*translated, "service/huvo11a/v3").is_null());
  }
}

/// Guards against a route of the wrong form that holds the whole version back, or whose requests
/// are taken by another route.
TEST(ConfigurationTranslatorTest, WrongRoutesRefuseTheirOwnCallsOnly) {
  const std::vector<std::pair<std::string, Json>> wrong = {
      {"/routes/r-89anu6w", "x"},
      {"/routes/r-89anu6w/host", nullptr},
      {"/routes/r-89anu6w/prefix", 3},
      {"/routes/r-89anu6w/prefix", "no-slash/"},
      {"/routes/r-89anu6w/prefix", "/no-slash"},
      {"/routes/r-89anu6w/host", ""},
      {"/routes/r-89anu6w/service", nullptr},
      {"/routes/r-89anu6w/service", 5},
      {"/routes/r-89anu6w/kind", 1},
      {"/routes/r-89anu6w/timeoutS", "1.5"},
      {"/routes/r-89anu6w/priority", Json::object()},
      {"/routes/r-ctnfzs9/weightedServices", "huvo11a"},
      {"/routes/r-ctnfzs9/weightedServices/0", 1},
      {"/routes/r-ctnfzs9/weightedServices/0/service", nullptr},
      {"/routes/r-ctnfzs9/weightedServices/0/weight", "10"},
      {"/routes/r-ctnfzs9/weightedServices", Json::parse(R"([{"service":"a","weight":0}])")},
  };
  const auto before = Translate(GoodConfiguration());
  ASSERT_TRUE(before.has_value());
  for (const auto& [place, value] : wrong) {
    Json configuration = GoodConfiguration();
    configuration[Json::json_pointer(place)] = value;
    const auto translated = Translate(configuration);
    ASSERT_TRUE(translated.has_value()) << place << " = " << value;
    ExpectParsable(*translated);
    EXPECT_FALSE(At(translated->notices, "op/config:" + place).empty())
        << place << " = " << value << ": " << FormatFindings(translated->notices);
    const bool first_is_wrong = place.starts_with("/routes/r-89anu6w");
    const std::string wrong_name = first_is_wrong ? "r-89anu6w" : "r-ctnfzs9";
    const std::string other = first_is_wrong ? "route/r-ctnfzs9/v1" : "route/r-89anu6w/v1";
    EXPECT_EQ(Body(*translated, other), Body(*before, other)) << place << " = " << value;
    EXPECT_TRUE(Body(*translated, "route/" + wrong_name + "/v1").is_null());
    EXPECT_TRUE(Body(*translated, "route/" + wrong_name + "/v2").is_null());
    const Json& route = configuration["routes"][wrong_name];
    const auto text = [&route](const char* field) {
      const bool is_text = route.is_object() && route[field].is_string();
      return is_text ? route[field].get<std::string>() : std::string();
    };
    const bool has_place = !text("host").empty() && text("prefix").starts_with('/');
    const Json refused = Body(*translated, "route/" + wrong_name + "/v3");
    ASSERT_EQ(refused.is_object(), has_place) << place << " = " << value;
    if (!has_place) continue;
    EXPECT_EQ(refused["host"], route["host"]);
    EXPECT_EQ(refused["prefix"], route["prefix"]);
    EXPECT_NE(refused["refusal"].get<std::string>().find(place), std::string::npos) << refused;
  }
}

TEST(ConfigurationTranslatorTest, NullServiceIsOmitted) {
  Json configuration = GoodConfiguration();
  configuration["services"]["huvo11a"] = nullptr;
  EXPECT_TRUE(Translate(configuration).has_value());
}

/// Guards against a field that this build doesn't know, and that is nested deeply, that holds the
/// whole version back.
TEST(ConfigurationTranslatorTest, DeepUnknownFieldsAreIgnored) {
  Json deep = 1;
  for (int i = 0; i < 40; ++i) deep = Json::object({{"a", deep}});
  Json configuration = GoodConfiguration();
  configuration["laterField"] = deep;
  configuration["routes"]["r-89anu6w"]["laterField"] = Json::array({deep, deep});
  const auto translated = Translate(configuration);
  ASSERT_TRUE(translated.has_value()) << FormatFindings(translated.error());
  EXPECT_EQ(translated->records, Translate(GoodConfiguration())->records);
}

TEST(ConfigurationTranslatorTest, RejectsVersionsWithoutOrderOrRoutesAndUnreadableText) {
  const std::vector<std::pair<std::string, Json>> wrong = {
      {"/version", nullptr},
      {"/version", "7"},
      {"/routes", nullptr},
      {"/routes", Json::array()},
  };
  for (const auto& [place, value] : wrong) {
    Json configuration = GoodConfiguration();
    configuration[Json::json_pointer(place)] = value;
    const auto translated = Translate(configuration);
    ASSERT_FALSE(translated.has_value()) << place << " = " << value;
    EXPECT_TRUE(translated.error()[0].place.starts_with("op/config:" + place))
        << FormatFindings(translated.error());
  }
  for (const char* text : {"", "[", "[]", "7", "\xFF", R"({"version":1,"version":2})"}) {
    EXPECT_FALSE(TranslateConfiguration(text, {}).has_value()) << text;
  }
}

TEST(RecordNamesTest, AreValidAndUnique) {
  std::vector<std::string> names = {"huvo11a", "tickets", "x--9",     "9",
                                    "Huvo11a", "",        "x-h-0",    std::string(64, 'a'),
                                    "a_b",     "a",       "x---4fdd", std::string(65, 'a'),
                                    "\xC3\xA9"};
  for (std::string& name : names) {
    name = RecordNameOf(name);
    EXPECT_TRUE(records::IsRecordName(name)) << name;
  }
  EXPECT_EQ(names[0], "huvo11a");
  EXPECT_NE(names[1], "tickets") << "records reject this service name";
  std::sort(names.begin(), names.end());
  EXPECT_EQ(std::adjacent_find(names.begin(), names.end()), names.end());
}

}  // namespace
}  // namespace fireflyrun::platform
