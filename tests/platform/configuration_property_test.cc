// Properties over configurations drawn from the grammar of the platform's page. Each draw is a
// statement of its own, so that a seed gives the same configuration on every machine.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/configuration_reader.h"
#include "platform/record_names.h"
#include "records/configuration.h"
#include "records/host_name.h"
#include "records/record_book.h"
#include "records/transfer.h"

namespace fireflyrun::platform {
namespace {

using Json = nlohmann::json;

constexpr int kMaxHeadBytes = 16'384;
constexpr int kManyServices = 1200;

/// Bytes that a prefix may have between its slashes.
std::string DrawSegment() {
  const auto text = *rc::gen::element<std::string>("", "a", "p", "seg", "%20", "~x", "[1]", "\"",
                                                   ";,=@:", "\xC3\xA4", "a b", ".", "..", "A-_1");
  const auto repeats = *rc::gen::weightedElement<int>({{12, 1}, {2, 30}, {1, 700}});
  std::string segment;
  for (int i = 0; i < repeats; ++i) segment += text;
  return segment;
}

/// A prefix that begins and ends with a slash and fits into the head of a request; often one that
/// extends an earlier one.
std::string DrawPrefix(const std::vector<Json>& routes) {
  std::string prefix = "/";
  const bool extends = *rc::gen::arbitrary<bool>();
  if (extends && !routes.empty()) {
    const auto index = *rc::gen::inRange<std::size_t>(0, routes.size());
    prefix = routes[index]["prefix"].get<std::string>();
  }
  const int segments = *rc::gen::inRange(0, 4);
  for (int i = 0; i < segments; ++i) {
    const std::string segment = DrawSegment() + "/";
    if (prefix.size() + segment.size() < kMaxHeadBytes) prefix += segment;
  }
  return prefix;
}

std::string DrawHost() {
  auto host = *rc::gen::element<std::string>("a.example", "B.Example", "c_d.example", "e", "[::1]",
                                             "10.0.0.1");
  const auto repeats = *rc::gen::weightedElement<int>({{8, 0}, {1, 40}});
  std::string labels;
  for (int i = 0; i < repeats; ++i) labels += "label-";
  host.insert(0, labels);
  const auto dot = *rc::gen::weightedElement<bool>({{6, false}, {1, true}});
  if (dot && !host.ends_with(']')) host += '.';
  const auto port = *rc::gen::weightedElement<std::string>({{6, ""}, {1, ":80"}, {1, ":8080"}});
  return host + port;
}

double DrawWeight() {
  const auto mantissa = *rc::gen::inRange(1, 1'000'001);
  const auto divisor = *rc::gen::element(1.0, 1e3, 1e6, 1e20, 1e-20);
  return mantissa / divisor;
}

Json DrawParts() {
  const auto count =
      *rc::gen::weightedElement<int>({{10, 1}, {10, 3}, {4, 40}, {1, kManyServices}});
  Json parts = Json::array();
  for (int i = 0; i < count; ++i) {
    const double weight = DrawWeight();
    parts.push_back({{"service", "s" + std::to_string(i)}, {"weight", weight}});
  }
  return parts;
}

Json DrawRoute(const std::vector<Json>& routes) {
  Json route;
  route["host"] = DrawHost();
  route["prefix"] = DrawPrefix(routes);
  route["kind"] = *rc::gen::element<std::string>("safe", "unsafe", "upload");
  route["timeoutS"] = *rc::gen::inRange(10, 600'000) / 1000.0;
  route["targetLatencyS"] = *rc::gen::inRange(1, 600'000) / 1000.0;
  route["priority"] = *rc::gen::inRange(0, 10);
  route["maxAttempts"] = *rc::gen::inRange(1, 11);
  const bool is_split = *rc::gen::arbitrary<bool>();
  if (is_split) {
    route["weightedServices"] = DrawParts();
  } else {
    route["service"] = "s" + std::to_string(*rc::gen::inRange(0, 40));
  }
  return route;
}

std::string DrawName(std::size_t number) {
  const auto text = *rc::gen::element<std::string>("r", "Odd_", "9", "a/b~", "\xC3\xA4",
                                                   std::string(300, 'n'), "tickets");
  return text + std::to_string(number);
}

/// Routes by name, each with a host and prefix of its own.
std::map<std::string, Json> DrawRoutes() {
  const auto count = *rc::gen::inRange<std::size_t>(1, 9);
  std::set<std::pair<std::string, std::string>> selectors;
  std::vector<Json> routes;
  std::map<std::string, Json> by_name;
  for (std::size_t i = 0; i < count; ++i) {
    Json route = DrawRoute(routes);
    const std::string name = DrawName(i);
    const std::string host = records::NormalizeHost(route["host"].get<std::string>());
    if (!selectors.emplace(host, route["prefix"].get<std::string>()).second) continue;
    routes.push_back(route);
    by_name.emplace(name, std::move(route));
  }
  return by_name;
}

Json ConfigurationOf(const std::map<std::string, Json>& routes) {
  Json configuration = {{"version", 7}, {"routes", Json::object()}, {"services", Json::object()}};
  for (int i = 0; i < kManyServices; ++i) {
    configuration["services"]["s" + std::to_string(i)] = {{"healthPath", "/healthz"},
                                                          {"maxConns", 100}};
  }
  for (const auto& [name, route] : routes) configuration["routes"][name] = route;
  return configuration;
}

/// What a node makes of a text from the store.
struct Outcome {
  std::shared_ptr<const records::Configuration> in_force;  ///< Null if the version isn't used.
  Findings problems;
};

Outcome Apply(const std::string& text) {
  ConfigurationReader reader{TranslationDefaults()};
  Outcome outcome;
  store::KeyValue item;
  item.key = std::string(kConfigurationKey);
  item.value = text;
  item.revision = 1;
  const auto transfer = reader.Read(item, outcome.problems);
  records::RecordBook book;
  if (!transfer || !book.MergeTransfer(*transfer)) return outcome;
  outcome.in_force = records::Configuration::Build(book);
  const Findings& more = outcome.in_force->Problems();
  outcome.problems.insert(outcome.problems.end(), more.begin(), more.end());
  return outcome;
}

/// The name of the route with the longest prefix among those of the host with its port, or else
/// without a port: a search by the words of the page, without regard to how records are held.
std::string ExpectedRoute(const std::map<std::string, Json>& routes, const std::string& host,
                          const std::string& path) {
  const std::string whole_host = records::NormalizeHost(host);
  const std::string bare_host = records::NormalizeHost(records::SplitHost(whole_host).name);
  for (const std::string& wanted : {whole_host, bare_host}) {
    const std::string* best = nullptr;
    std::size_t longest = 0;
    for (const auto& [name, route] : routes) {
      const auto prefix = route["prefix"].get<std::string>();
      const auto route_host = records::NormalizeHost(route["host"].get<std::string>());
      if (route_host != wanted || !path.starts_with(prefix) || prefix.size() < longest) continue;
      best = &name;
      longest = prefix.size();
    }
    if (best != nullptr) return *best;
  }
  return "";
}

void CheckPolicies(const records::RouteEntry& entry, const Json& route) {
  RC_ASSERT(entry.refusal.empty());
  std::map<std::string, double> weights;
  if (route.contains("service")) {
    weights[route["service"]] = 1;
  } else {
    for (const Json& part : route["weightedServices"]) weights[part["service"]] = part["weight"];
  }
  RC_ASSERT(entry.policies.size() == weights.size());
  for (const records::WeightedPolicy& part : entry.policies) {
    RC_ASSERT(part.refusal.empty());
    RC_ASSERT(weights.at(part.policy.service) == part.weight);
    RC_ASSERT(part.policy.idempotent == (route["kind"] == "safe"));
    RC_ASSERT(part.policy.max_attempts == route["maxAttempts"].get<int>());
    const auto timeout_ms = std::llround(route["timeoutS"].get<double>() * 1000);
    RC_ASSERT(part.policy.timeout == std::chrono::milliseconds(timeout_ms));
  }
}

/// The routes' ranks by their priorities.
using Ranks = std::map<int, std::set<int>>;

void AddRank(const records::RouteEntry& entry, const Json& route, Ranks& ranks) {
  for (const records::WeightedPolicy& part : entry.policies) {
    ranks[route["priority"].get<int>()].insert(part.policy.rank);
  }
}

/// Another route's odd priority may change the numbers of the ranks, never their order.
void CheckOrder(const Ranks& ranks) {
  int highest = -1;
  for (const auto& [priority, of_priority] : ranks) {
    RC_ASSERT(of_priority.size() == 1U);
    RC_ASSERT(*of_priority.begin() > highest);
    highest = *of_priority.begin();
  }
}

/// Guards against a valid route that is left out, or whose requests another route takes, for the
/// length or the bytes of its prefix, its host, its name, or the number of its services.
RC_GTEST_PROP(ConfigurationPropertyTest, EveryRouteThatThePageAllowsTakesItsRequests, ()) {
  const std::map<std::string, Json> routes = DrawRoutes();
  const Outcome outcome = Apply(ConfigurationOf(routes).dump());
  const bool is_used = outcome.in_force != nullptr;
  RC_ASSERT(is_used);
  for (const auto& [name, route] : routes) {
    const auto host = route["host"].get<std::string>();
    const auto path = route["prefix"].get<std::string>() + "x";
    const std::string expected = ExpectedRoute(routes, host, path);
    const records::RouteEntry* entry = outcome.in_force->FindRoute(host, path);
    const bool is_found = entry != nullptr;
    RC_ASSERT(is_found);
    RC_ASSERT(entry->name == RecordNameOf(expected));
    CheckPolicies(*entry, routes.at(expected));
    for (const records::WeightedPolicy& part : entry->policies) {
      RC_ASSERT(part.policy.rank == routes.at(expected)["priority"].get<int>());
    }
  }
}

Json DrawOddValue() {
  Json deep = 1;
  for (int i = 0; i < 60; ++i) deep = Json::array({deep});
  const auto index = *rc::gen::inRange<std::size_t>(0, 9);
  const std::vector<Json> values = {
      nullptr, true, "", "text", -1, 1.5, Json::array({1}), Json::object({{"a", 1}}), deep};
  return values[index];
}

/// Where an odd value is written, and what of the configuration it may touch.
struct OddPlace {
  std::string pointer;
  std::string route;  ///< Name of the only route that may be touched; empty for none.
};

OddPlace DrawOddPlace(const std::map<std::string, Json>& routes) {
  const auto index = *rc::gen::inRange<std::size_t>(0, routes.size());
  const std::string name = std::next(routes.begin(), static_cast<std::ptrdiff_t>(index))->first;
  const auto field = *rc::gen::element<std::string>(
      "kind", "timeoutS", "targetLatencyS", "priority", "maxAttempts", "service",
      "weightedServices", "laterField", "prefix", "host");
  const auto elsewhere = *rc::gen::element<std::string>(
      "/services/s1", "/services/s1/maxConns", "/services/s1/healthPath", "/services/later",
      "/limits", "/limits/maxHeaderBytes", "/laterField");
  const bool in_route = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});
  if (!in_route) return {elsewhere, ""};
  const bool whole = *rc::gen::weightedElement<bool>({{1, true}, {6, false}});
  const Json::json_pointer route = Json::json_pointer("/routes") / name;
  return {whole ? route.to_string() : (route / field).to_string(), name};
}

/// Whether a finding names a route, by its place in the text or its record's key.
bool TellsOfARoute(const Findings& findings) {
  return std::ranges::any_of(findings, [](const Finding& finding) {
    return finding.place.starts_with("op/config:/routes/") || finding.place.starts_with("route/");
  });
}

/// Guards against an odd value that holds a whole version back, or whose route's requests are taken
/// by another route.
RC_GTEST_PROP(ConfigurationPropertyTest, OddValueCostsItsOwnPartOnly, ()) {
  const std::map<std::string, Json> routes = DrawRoutes();
  const OddPlace odd = DrawOddPlace(routes);
  const Json value = DrawOddValue();
  Json configuration = ConfigurationOf(routes);
  configuration[Json::json_pointer(odd.pointer)] = value;
  const Outcome outcome = Apply(configuration.dump());
  const bool is_used = outcome.in_force != nullptr;
  RC_ASSERT(is_used);
  Ranks ranks;
  for (const auto& [name, route] : routes) {
    const auto host = route["host"].get<std::string>();
    const auto path = route["prefix"].get<std::string>() + "x";
    const std::string expected = ExpectedRoute(routes, host, path);
    const records::RouteEntry* entry = outcome.in_force->FindRoute(host, path);
    const bool is_odd = expected == odd.route;
    // An odd prefix or host may be a valid one of other requests.
    const bool moved = odd.pointer.ends_with("/prefix") || odd.pointer.ends_with("/host");
    const Json& written = configuration["routes"][expected];
    if (is_odd && written.is_null()) continue;
    const bool is_readable = written.is_object() && written.contains("host");
    if (is_odd && !is_readable) {
      RC_ASSERT(TellsOfARoute(outcome.problems));
      continue;
    }
    if (is_odd && moved) continue;
    const bool is_found = entry != nullptr;
    RC_ASSERT(is_found);
    RC_ASSERT(entry->name == RecordNameOf(expected));
    if (!is_odd) CheckPolicies(*entry, routes.at(expected));
    if (!is_odd) AddRank(*entry, routes.at(expected), ranks);
    if (!entry->refusal.empty()) RC_ASSERT(TellsOfARoute(outcome.problems));
  }
  CheckOrder(ranks);
}

}  // namespace
}  // namespace fireflyrun::platform
