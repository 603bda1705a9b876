#include "records/route_record_parser.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>
#include <utility>

#include "records/field_reader.h"
#include "records/json_reader.h"
#include "records/record_limits.h"

namespace fireflyrun::records {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMaxAttempts = 10;
constexpr std::int64_t kMinTargetLatencyMs = 1;
/// Of a host before kAnyPrefixSchema; the limit of DNS.
constexpr std::size_t kMaxHostBytes = 253;

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

/// True for a host name, an IPv4 address or an IPv6 address in brackets, all without port.
bool IsHost(std::string_view host) {
  if (host.empty() || host.size() > kMaxHostBytes) return false;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return std::all_of(host.begin() + 1, host.end() - 1,
                       [](char c) { return IsLetterOrDigit(c) || c == ':' || c == '.'; });
  }
  return std::all_of(host.begin(), host.end(),
                     [](char c) { return IsLetterOrDigit(c) || c == '-' || c == '.' || c == '_'; });
}

bool IsPrefix(std::string_view prefix) { return IsAbsolutePath(prefix) && prefix.back() == '/'; }

/// The same from kAnyPrefixSchema on.
bool IsAnyHost(std::string_view host) { return !host.empty() && host.size() <= kMaxRouteTextBytes; }

bool IsAnyPrefix(std::string_view prefix) {
  return prefix.starts_with('/') && prefix.ends_with('/') && prefix.size() <= kMaxRouteTextBytes;
}

/// A prefix of calls that are refused, whatever its end.
bool IsRefusedPrefix(std::string_view prefix) {
  return prefix.starts_with('/') && prefix.size() <= kMaxRouteTextBytes;
}

void ReadHost(FieldReader& reader, int schema, RouteRecord& route) {
  auto host = reader.Text("host", Presence::kOptional);
  if (!host) return;
  if (schema >= kAnyPrefixSchema && !IsAnyHost(*host)) {
    reader.Report("host", "has " + std::to_string(host->size()) + " bytes; allowed are 1 to " +
                              std::to_string(kMaxRouteTextBytes));
  } else if (schema < kAnyPrefixSchema && !IsHost(*host)) {
    reader.Report("host", "is " + Printable(*host) +
                              "; allowed is a host name or an IP address, without port");
  }
  route.host = std::move(*host);
}

void ReadPrefix(FieldReader& reader, int schema, RouteRecord& route) {
  auto prefix = reader.Text("prefix", Presence::kRequired);
  if (!prefix) return;
  const bool is_refused = !route.refusal.empty();
  if (schema < kAnyPrefixSchema && !IsPrefix(*prefix)) {
    reader.Report("prefix", "is " + Printable(*prefix) +
                                "; allowed are up to 512 bytes that begin and end with \"/\", "
                                "without query or space");
  } else if (is_refused && !IsRefusedPrefix(*prefix)) {
    reader.Report("prefix", "is " + Printable(*prefix) + "; allowed are up to " +
                                std::to_string(kMaxRouteTextBytes) +
                                " bytes that begin with \"/\"");
  } else if (schema >= kAnyPrefixSchema && !is_refused && !IsAnyPrefix(*prefix)) {
    reader.Report("prefix", "is " + Printable(*prefix) + "; allowed are up to " +
                                std::to_string(kMaxRouteTextBytes) +
                                " bytes that begin and end with \"/\"");
  }
  route.prefix = std::move(*prefix);
}

void ReadRefusal(FieldReader& reader, RouteRecord& route) {
  auto refusal = reader.Text("refusal", Presence::kOptional);
  if (!refusal) return;
  if (refusal->empty()) reader.Report("refusal", "is empty; allowed is a text that tells why");
  route.refusal = std::move(*refusal);
}

std::size_t MostServices(int schema) {
  if (schema >= kAnyPrefixSchema) return kMaxServicesOfThirdSchema;
  return schema >= kAnyWeightSchema ? kMaxServicesOfRoute : kMaxServicesOfFirstSchema;
}

bool IsSmallAndWhole(const WeightedService& service) {
  return service.weight <= kMaxWholeWeight && service.weight == std::floor(service.weight);
}

/// The weight is 1 if it was reported, so that the sum isn't reported too.
double ParseWeight(FieldReader& reader, int schema) {
  if (schema >= kAnyWeightSchema) return reader.Number("weight", 0, kMaxWeight).value_or(1);
  const auto whole = reader.Integer("weight", 0, kMaxWholeWeight, Presence::kRequired);
  return static_cast<double>(whole.value_or(1));
}

WeightedService ParseWeightedService(const Json& value, const std::string& place, int schema,
                                     Findings& findings) {
  FieldReader reader(value, place, findings);
  WeightedService weighted_service;
  weighted_service.service = reader.Name("service", Presence::kRequired).value_or("");
  weighted_service.weight = ParseWeight(reader, schema);
  reader.RejectUnknownFields();
  return weighted_service;
}

std::vector<WeightedService> ParseWeightedServices(FieldReader& reader, int schema,
                                                   Findings& findings) {
  std::vector<WeightedService> services;
  const Json* values = reader.Array("services", Presence::kRequired);
  if (values == nullptr) return services;
  const std::size_t most = MostServices(schema);
  if (values->empty() || values->size() > most) {
    reader.Report("services", "has " + std::to_string(values->size()) +
                                  " elements; allowed are 1 to " + std::to_string(most));
    return services;
  }
  std::set<std::string> seen;
  bool has_weight = false;
  for (std::size_t i = 0; i < values->size(); ++i) {
    const std::string place = ChildPlace(reader.PlaceOf("services"), std::to_string(i));
    const Json& value = (*values)[i];
    if (!value.is_object()) {
      findings.push_back({place, "is no service with a weight; allowed is a JSON object"});
      has_weight = true;  // Its weight is unknown, so the sum isn't checked.
      continue;
    }
    services.push_back(ParseWeightedService(value, place, schema, findings));
    has_weight = has_weight || services.back().weight > 0;
    if (!seen.insert(services.back().service).second) {
      findings.push_back({place, "repeats an earlier service; allowed is each service once"});
    }
  }
  if (!has_weight) reader.Report("services", "has no weight above 0; allowed is at least one");
  return services;
}

}  // namespace

RouteRecord ParseRouteRecord(FieldReader& reader, const RecordKey& key, Findings& findings) {
  RouteRecord route;
  route.name = key.name;
  if (key.schema >= kAnyPrefixSchema) ReadRefusal(reader, route);
  ReadHost(reader, key.schema, route);
  ReadPrefix(reader, key.schema, route);
  if (!route.refusal.empty()) return route;
  route.services = ParseWeightedServices(reader, key.schema, findings);
  route.priority = reader.Name("priority", Presence::kRequired).value_or("");
  route.retry_allowance = reader.Name("retry_allowance", Presence::kRequired).value_or("");
  route.idempotent = reader.Boolean("idempotent", Presence::kRequired).value_or(false);
  route.max_attempts = static_cast<int>(
      reader.Integer("max_attempts", 1, kMaxAttempts, Presence::kOptional).value_or(1));
  route.timeout =
      reader.Milliseconds("timeout_ms", kMinDeadlineMs, kMaxDeadlineMs, Presence::kOptional);
  route.target_latency = reader.Milliseconds("target_latency_ms", kMinTargetLatencyMs,
                                             kMaxDeadlineMs, Presence::kOptional);
  return route;
}

std::optional<RouteSelector> ReadRouteSelector(std::string_view body) {
  const Json value = Json::parse(body, nullptr, false);
  if (!value.is_object()) return std::nullopt;
  const auto host = value.find("host");
  const auto prefix = value.find("prefix");
  RouteSelector selector;
  if (host != value.end()) {
    if (!host->is_string() || !IsAnyHost(host->get_ref<const std::string&>())) return std::nullopt;
    selector.host = host->get<std::string>();
  }
  if (prefix == value.end() || !prefix->is_string()) return std::nullopt;
  selector.prefix = prefix->get<std::string>();
  if (!IsRefusedPrefix(selector.prefix)) return std::nullopt;
  return selector;
}

int LowestRouteSchema(const RouteRecord& route) {
  const std::size_t services = route.services.size();
  const bool has_any_prefix = !route.refusal.empty() || !IsPrefix(route.prefix) ||
                              (!route.host.empty() && !IsHost(route.host)) ||
                              services > kMaxServicesOfRoute;
  if (has_any_prefix) return kAnyPrefixSchema;
  const bool fits_first =
      services <= kMaxServicesOfFirstSchema && std::ranges::all_of(route.services, IsSmallAndWhole);
  return fits_first ? 1 : kAnyWeightSchema;
}

}  // namespace fireflyrun::records
