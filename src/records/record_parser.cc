#include "records/record_parser.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>
#include <string_view>
#include <utility>

#include "records/field_reader.h"
#include "records/json_reader.h"
#include "records/record_limits.h"
#include "records/route_record_parser.h"

namespace fireflyrun::records {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMaxBodyBytesLimit = std::int64_t{256} << 20;
/// The first path segment of ticket requests, which nodes serve themselves.
constexpr std::string_view kReservedServiceName = "tickets";
constexpr std::int64_t kMaxRank = 63;
constexpr std::int64_t kMaxRetriesPerRequest = 20;
constexpr std::int64_t kMaxRetryBurst = 10'000;
constexpr std::size_t kMaxRoutes = 64;
constexpr std::size_t kMaxMethodBytes = 20;
constexpr std::int64_t kMaxConnections = 100'000;
constexpr std::int64_t kMinHeaderBytes = 1024;
constexpr std::int64_t kMaxHeaderBytes = std::int64_t{1} << 20;
constexpr std::int64_t kMinCallerTimeoutMs = 100;
constexpr std::int64_t kMaxCallerTimeoutMs = 3'600'000;
constexpr std::string_view kLimitsName = "default";

bool IsRouteMethod(std::string_view method) {
  if (method == "*") return true;
  if (method.empty() || method.size() > kMaxMethodBytes) return false;
  return std::all_of(method.begin(), method.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool IsRoutePath(std::string_view path) {
  if (path == "/") return true;
  return IsAbsolutePath(path) && path.back() != '/' && path.find("//") == std::string_view::npos;
}

std::optional<std::chrono::milliseconds> ReadDeadline(FieldReader& reader, Presence presence) {
  return reader.Milliseconds("deadline_ms", kMinDeadlineMs, kMaxDeadlineMs, presence);
}

ServiceRoute ParseRoute(const Json& value, const std::string& place, Findings& findings) {
  FieldReader reader(value, place, findings);
  ServiceRoute route;
  if (auto method = reader.Text("method", Presence::kRequired)) {
    if (!IsRouteMethod(*method)) {
      reader.Report("method", "is " + Printable(*method) +
                                  "; allowed is an HTTP method in capitals, or \"*\" for any");
    }
    route.method = std::move(*method);
  }
  if (auto path = reader.Text("path", Presence::kRequired)) {
    if (!IsRoutePath(*path)) {
      reader.Report("path", "is " + Printable(*path) +
                                "; allowed is \"/\", or up to 512 bytes of \"/SEGMENT\" parts "
                                "without query, space or trailing \"/\"");
    }
    route.path = std::move(*path);
  }
  route.priority = reader.Name("priority", Presence::kOptional);
  route.idempotent = reader.Boolean("idempotent", Presence::kOptional);
  route.deadline = ReadDeadline(reader, Presence::kOptional);
  reader.RejectUnknownFields();
  return route;
}

std::vector<ServiceRoute> ParseRoutes(FieldReader& reader, Findings& findings) {
  std::vector<ServiceRoute> routes;
  const Json* values = reader.Array("routes", Presence::kOptional);
  if (values == nullptr) return routes;
  if (values->size() > kMaxRoutes) {
    reader.Report("routes", "has too many; allowed are " + std::to_string(kMaxRoutes));
    return routes;
  }
  std::set<std::pair<std::string, std::string>> seen;
  for (std::size_t i = 0; i < values->size(); ++i) {
    const std::string place = ChildPlace(reader.PlaceOf("routes"), std::to_string(i));
    const Json& value = (*values)[i];
    if (!value.is_object()) {
      findings.push_back({place, "is no route; allowed is a JSON object"});
      continue;
    }
    routes.push_back(ParseRoute(value, place, findings));
    if (!seen.emplace(routes.back().method, routes.back().path).second) {
      findings.push_back({place, "repeats an earlier route; allowed is each method and path once"});
    }
  }
  return routes;
}

ServicePolicy ParseServicePolicy(FieldReader& reader) {
  ServicePolicy policy;
  policy.by_path = reader.Boolean("by_path", Presence::kOptional).value_or(true);
  policy.health_path = reader.Text("health_path", Presence::kOptional);
  if (policy.health_path && !IsAbsolutePath(*policy.health_path)) {
    reader.Report("health_path", "is " + Printable(*policy.health_path) +
                                     "; allowed are up to 512 bytes that begin with \"/\", "
                                     "without query or space");
  }
  const auto connections =
      reader.Integer("max_connections", 1, kMaxConnections, Presence::kOptional);
  if (connections) policy.max_connections = static_cast<int>(*connections);
  return policy;
}

ServiceRecord ParseService(FieldReader& reader, const RecordKey& key, Findings& findings) {
  ServiceRecord service;
  service.name = key.name;
  if (key.name == kReservedServiceName) {
    reader.Report("name", "is \"tickets\"; allowed is any other name, since nodes serve /tickets");
  }
  service.schema = key.schema;
  service.priority = reader.Name("priority", Presence::kRequired).value_or("");
  service.retry_allowance = reader.Name("retry_allowance", Presence::kRequired).value_or("");
  service.deadline =
      ReadDeadline(reader, Presence::kRequired).value_or(std::chrono::milliseconds::zero());
  service.idempotent = reader.Boolean("idempotent", Presence::kRequired).value_or(false);
  if (key.schema < 2) return service;
  service.routes = ParseRoutes(reader, findings);
  const auto max_body =
      reader.Integer("max_body_bytes", 0, kMaxBodyBytesLimit, Presence::kOptional);
  if (max_body) service.max_body_bytes = static_cast<std::size_t>(*max_body);
  if (key.schema >= 3) service.policy = ParseServicePolicy(reader);
  return service;
}

PriorityRecord ParsePriority(FieldReader& reader, const RecordKey& key) {
  PriorityRecord priority;
  priority.name = key.name;
  priority.rank =
      static_cast<int>(reader.Integer("rank", 0, kMaxRank, Presence::kRequired).value_or(0));
  priority.may_leave_region =
      reader.Boolean("may_leave_region", Presence::kRequired).value_or(false);
  return priority;
}

RetryAllowanceRecord ParseRetryAllowance(FieldReader& reader, const RecordKey& key) {
  RetryAllowanceRecord allowance;
  allowance.name = key.name;
  allowance.retries_per_request = static_cast<int>(
      reader.Integer("retries_per_request", 0, kMaxRetriesPerRequest, Presence::kRequired)
          .value_or(0));
  allowance.success_ratio = reader.Number("success_ratio", 0, 1).value_or(0);
  allowance.burst =
      static_cast<int>(reader.Integer("burst", 0, kMaxRetryBurst, Presence::kRequired).value_or(0));
  return allowance;
}

LimitsRecord ParseLimits(FieldReader& reader, const RecordKey& key) {
  LimitsRecord record;
  record.name = key.name;
  // FieldReader::Name() has already reported an invalid name.
  if (!key.name.empty() && key.name != kLimitsName) {
    reader.Report("name", "is " + Printable(key.name) + "; allowed is \"default\"");
  }
  CallerLimits& limits = record.limits;
  const auto header_bytes =
      reader.Integer("max_header_bytes", kMinHeaderBytes, kMaxHeaderBytes, Presence::kRequired);
  limits.max_header_bytes = static_cast<std::size_t>(header_bytes.value_or(0));
  const auto body_bytes =
      reader.Integer("max_body_bytes", 0, kMaxBodyBytesLimit, Presence::kRequired);
  limits.max_body_bytes = static_cast<std::size_t>(body_bytes.value_or(0));
  const auto read_timeout = [&](std::string_view field) {
    return reader.Milliseconds(field, kMinCallerTimeoutMs, kMaxCallerTimeoutMs, Presence::kRequired)
        .value_or(std::chrono::milliseconds::zero());
  };
  limits.header_timeout = read_timeout("header_timeout_ms");
  limits.idle_timeout = read_timeout("idle_timeout_ms");
  return record;
}

std::string KindNames() {
  std::string names;
  for (const auto& [kind, name] : kRecordKindNames.Entries()) {
    if (!names.empty()) names += ", ";
    names += name;
  }
  return names;
}

std::optional<RecordKind> ReadKind(FieldReader& reader) {
  const auto text = reader.Text("kind", Presence::kRequired);
  if (!text) return std::nullopt;
  const auto kind = kRecordKindNames.ValueOf(*text);
  if (!kind) {
    reader.Report("kind", "is " + Printable(*text) + "; allowed are " + KindNames());
  }
  return kind;
}

TypedRecord ParseContent(FieldReader& reader, const RecordKey& key, Findings& findings) {
  switch (key.kind) {
    case RecordKind::kPriority:
      return ParsePriority(reader, key);
    case RecordKind::kRetryAllowance:
      return ParseRetryAllowance(reader, key);
    case RecordKind::kRoute:
      return ParseRouteRecord(reader, key, findings);
    case RecordKind::kLimits:
      return ParseLimits(reader, key);
    case RecordKind::kService:
      break;
  }
  return ParseService(reader, key, findings);
}

}  // namespace

std::optional<Record> ParseRecord(const Json& value, const std::string& place, Findings& findings) {
  const std::size_t findings_before = findings.size();
  if (!value.is_object()) {
    findings.push_back({place, "is no record; allowed is a JSON object"});
    return std::nullopt;
  }
  FieldReader reader(value, place, findings);
  Record record;
  const auto kind = ReadKind(reader);
  const auto name = reader.Name("name", Presence::kRequired);
  // Without a kind, the schema and the other fields can't be checked.
  if (!kind) return std::nullopt;
  const auto schema = reader.Integer("schema", 1, HighestSchema(*kind), Presence::kRequired);
  record.key = RecordKey{*kind, name.value_or(""), static_cast<int>(schema.value_or(0))};
  if (!schema) {
    // Fields common to all schemas are still checked; unknown ones can't be.
    record.key.schema = 1;
    ParseContent(reader, record.key, findings);
    return std::nullopt;
  }
  record.content = ParseContent(reader, record.key, findings);
  reader.RejectUnknownFields();
  if (findings.size() != findings_before) return std::nullopt;
  record.body = value.dump();
  return record;
}

}  // namespace fireflyrun::records
