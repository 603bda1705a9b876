#include "platform/configuration_translator.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "platform/record_names.h"
#include "records/record_key.h"
#include "records/record_parser.h"

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
  EXPECT_EQ(translated->version, 7);
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

TEST(ConfigurationTranslatorTest, RejectsInvalidFieldsAndUnreadableText) {
  const std::vector<std::pair<std::string, Json>> wrong = {
      {"/version", nullptr},
      {"/version", "7"},
      {"/routes", nullptr},
      {"/routes", Json::array()},
      {"/services", 1},
      {"/limits", "none"},
      {"/limits/idleTimeoutS", "15"},
      {"/services/huvo11a", nullptr},  // Accepted: null means omitted.
      {"/services/huvo11a", Json::array()},
      {"/services/huvo11a/maxConns", true},
      {"/routes/r-89anu6w", "x"},
      {"/routes/r-89anu6w/host", nullptr},
      {"/routes/r-89anu6w/prefix", 3},
      {"/routes/r-89anu6w/service", nullptr},
      {"/routes/r-89anu6w/kind", 1},
      {"/routes/r-89anu6w/timeoutS", "1.5"},
      {"/routes/r-89anu6w/priority", Json::object()},
      {"/routes/r-ctnfzs9/weightedServices", "huvo11a"},
      {"/routes/r-ctnfzs9/weightedServices/0", 1},
      {"/routes/r-ctnfzs9/weightedServices/0/service", nullptr},
      {"/routes/r-ctnfzs9/weightedServices/0/weight", "10"},
      {"/routes/r-ctnfzs9/weightedServices", Json::parse(R"([{"service":"a","weight":0}])")},
  };
  for (const auto& [place, value] : wrong) {
    Json configuration = GoodConfiguration();
    configuration[Json::json_pointer(place)] = value;
    const auto translated = Translate(configuration);
    if (place == "/services/huvo11a" && value.is_null()) {
      EXPECT_TRUE(translated.has_value()) << "null means omitted";
      continue;
    }
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
