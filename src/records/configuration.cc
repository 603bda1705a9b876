#include "records/configuration.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "records/json_reader.h"
#include "records/record_book.h"
#include "records/record_parser.h"
#include "records/route_record_parser.h"

namespace fireflyrun::records {
namespace {

bool MatchesPath(std::string_view path, std::string_view prefix) {
  if (prefix == "/") return true;
  if (!path.starts_with(prefix)) return false;
  return path.size() == prefix.size() || path[prefix.size()] == '/';
}

std::optional<Record> ParseEntry(const RecordEntry& entry, Findings& problems) {
  const std::string key_text = FormatRecordKey(entry.key);
  Findings found;
  const auto value = ReadJson(key_text, entry.body, found);
  std::optional<Record> record;
  if (value) record = ParseRecord(*value, key_text + ":/", found);
  if (record && record->key != entry.key) {
    found.push_back({key_text, "the body belongs to " + FormatRecordKey(record->key)});
  }
  if (found.empty()) return record;
  problems.insert(problems.end(), found.begin(), found.end());
  return std::nullopt;
}

}  // namespace

/// Resolves a book's records into a configuration.
class ConfigurationBuilder {
 public:
  explicit ConfigurationBuilder(const RecordBook& source)
      : book(source), result(std::make_shared<Configuration>()) {}

  std::shared_ptr<const Configuration> Build() {
    this->result->revision = this->book.Revision();
    this->result->built_at = SteadyClock::now();
    this->ChooseRecords();
    for (const auto& [name, service] : this->chosen_services) {
      this->AddService(service);
    }
    for (const auto& [key, route] : this->chosen_routes) {
      this->AddRoute(key, route);
    }
    for (const auto& [name, key] : this->unusable_routes) {
      this->RefuseUnusableRoute(key);
    }
    return this->result;
  }

 private:
  void Report(const RecordKey& key, std::string message) {
    this->result->problems.push_back({FormatRecordKey(key), std::move(message)});
  }

  /// Takes the highest usable schema of each name.
  void ChooseRecords() {
    std::set<std::pair<RecordKind, std::string>> chosen;
    std::map<std::pair<RecordKind, std::string>, RecordKey> too_new;
    const std::vector<RecordEntry> entries = this->book.Entries();
    for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
      const std::pair name(entry->key.kind, entry->key.name);
      if (entry->retired || chosen.contains(name)) continue;
      const bool is_route = entry->key.kind == RecordKind::kRoute;
      if (is_route) this->unusable_routes.emplace(entry->key.name, entry->key);
      if (entry->key.schema > HighestSchema(entry->key.kind)) {
        too_new.emplace(name, entry->key);
        continue;
      }
      auto record = ParseEntry(*entry, this->result->problems);
      if (!record) continue;
      chosen.insert(name);
      if (is_route) this->unusable_routes.erase(entry->key.name);
      this->Choose(std::move(*record));
    }
    for (const auto& [name, key] : too_new) {
      if (!chosen.contains(name))
        this->Report(key, "has no record with a schema that this build supports");
    }
  }

  void Choose(Record record) {
    if (auto* service = std::get_if<ServiceRecord>(&record.content)) {
      this->chosen_services.emplace(record.key.name, std::move(*service));
    } else if (auto* priority = std::get_if<PriorityRecord>(&record.content)) {
      this->priorities.emplace(record.key.name, std::move(*priority));
    } else if (auto* allowance = std::get_if<RetryAllowanceRecord>(&record.content)) {
      this->allowances.emplace(record.key.name, std::move(*allowance));
    } else if (auto* route = std::get_if<RouteRecord>(&record.content)) {
      this->chosen_routes.emplace(record.key, std::move(*route));
    } else if (auto* limits = std::get_if<LimitsRecord>(&record.content)) {
      this->result->limits = limits->limits;
    }
  }

  bool SetPriority(const RecordKey& key, const std::string& name, CallPolicy& policy) {
    const auto found = this->priorities.find(name);
    if (found == this->priorities.end()) {
      this->Report(key, "names the priority \"" + name + "\", which is not in force");
      return false;
    }
    policy.class_name = name;
    policy.rank = found->second.rank;
    policy.may_leave_region = found->second.may_leave_region;
    return true;
  }

  bool SetRetry(const RecordKey& key, const std::string& name, CallPolicy& policy) {
    const auto found = this->allowances.find(name);
    if (found == this->allowances.end()) {
      this->Report(key, "names the retry_allowance \"" + name + "\", which is not in force");
      return false;
    }
    const RetryAllowanceRecord& allowance = found->second;
    policy.retry = RetryPolicy{allowance.name, allowance.retries_per_request,
                               allowance.success_ratio, allowance.burst};
    return true;
  }

  /// Leaves out the whole service if a record that it names is not in force: a subset of its routes
  /// would be a different policy from the one its author wrote.
  void AddService(const ServiceRecord& record) {
    const RecordKey key{RecordKind::kService, record.name, record.schema};
    Configuration::Service service;
    service.service_policy = record.policy;
    CallPolicy& policy = service.policy;
    policy.service = record.name;
    policy.idempotent = record.idempotent;
    policy.deadline = record.deadline;
    policy.max_body_bytes = record.max_body_bytes.value_or(this->result->limits.max_body_bytes);
    bool usable = this->SetPriority(key, record.priority, policy);
    usable = this->SetRetry(key, record.retry_allowance, policy) && usable;
    for (const ServiceRoute& route : record.routes) {
      CallPolicy route_call_policy = policy;
      if (route.priority) {
        usable = this->SetPriority(key, *route.priority, route_call_policy) && usable;
      }
      route_call_policy.idempotent = route.idempotent.value_or(policy.idempotent);
      route_call_policy.deadline = route.deadline.value_or(policy.deadline);
      service.routes.push_back({route.method, route.path, std::move(route_call_policy)});
    }
    if (!usable) return;
    std::sort(service.routes.begin(), service.routes.end(), IsTriedBefore);
    this->result->services.emplace(record.name, std::move(service));
    this->result->service_names.push_back(record.name);
  }

  /// A route that can't be used keeps its place and refuses its calls, and so does the share of a
  /// service that isn't in force: left out, they would be taken by a service that their author
  /// didn't choose.
  void AddRoute(const RecordKey& key, const RouteRecord& record) {
    if (!record.refusal.empty()) {
      this->Refuse(key, {record.host, record.prefix}, record.refusal);
      return;
    }
    CallPolicy common;
    bool usable = this->SetPriority(key, record.priority, common);
    usable = this->SetRetry(key, record.retry_allowance, common) && usable;
    if (!usable) {
      this->Refuse(key, {record.host, record.prefix}, "a record that it names is not in force");
      return;
    }
    common.name = record.name;
    common.idempotent = record.idempotent;
    common.max_attempts = record.max_attempts;
    common.timeout = record.timeout;
    common.target_latency = record.target_latency;
    RouteEntry entry;
    entry.name = record.name;
    for (const WeightedService& weighted_service : record.services) {
      this->AddWeightedService(key, weighted_service, common, entry);
    }
    this->Add(key, {record.host, record.prefix}, std::move(entry));
  }

  void AddWeightedService(const RecordKey& key, const WeightedService& weighted_service,
                          const CallPolicy& common, RouteEntry& entry) {
    WeightedPolicy part;
    part.weight = weighted_service.weight;
    part.policy = common;
    part.policy.service = weighted_service.service;
    const auto found = this->result->services.find(weighted_service.service);
    if (found == this->result->services.end()) {
      part.refusal =
          "names the service \"" + weighted_service.service + "\", which is not in force";
      this->Report(key, part.refusal);
    } else {
      const CallPolicy& service = found->second.policy;
      part.policy.deadline = common.timeout.value_or(service.deadline);
      part.policy.max_body_bytes = service.max_body_bytes;
    }
    entry.policies.push_back(std::move(part));
    entry.weights.push_back(weighted_service.weight);
  }

  void Add(const RecordKey& key, const RouteSelector& selector, RouteEntry entry) {
    if (this->result->routes.Add(selector.host, selector.prefix, std::move(entry))) return;
    this->Report(key, "is left out: another route has the same host and prefix");
  }

  void Refuse(const RecordKey& key, const RouteSelector& selector, const std::string& why) {
    RouteEntry entry;
    entry.name = key.name;
    entry.refusal = why;
    this->Report(key, "refuses its calls: " + why);
    this->Add(key, selector, std::move(entry));
  }

  /// Why the record can't be used is reported already.
  void RefuseUnusableRoute(const RecordKey& key) {
    const RecordEntry* entry = this->book.Find(key);
    const auto selector = ReadRouteSelector(entry->body);
    if (selector) {
      this->Refuse(key, *selector, "its record can't be used");
    } else {
      this->Report(key, "is left out: its host or prefix can't be read");
    }
  }

  static bool IsTriedBefore(const Configuration::Route& a, const Configuration::Route& b) {
    if (a.path.size() != b.path.size()) return a.path.size() > b.path.size();
    return a.method != "*" && b.method == "*";
  }

  const RecordBook& book;
  std::shared_ptr<Configuration> result;
  std::map<std::string, ServiceRecord> chosen_services;
  std::map<RecordKey, RouteRecord> chosen_routes;
  /// The highest schema of each name of which no record can be used.
  std::map<std::string, RecordKey> unusable_routes;
  std::map<std::string, PriorityRecord> priorities;
  std::map<std::string, RetryAllowanceRecord> allowances;
};

std::shared_ptr<const Configuration> Configuration::Build(const RecordBook& book) {
  return ConfigurationBuilder(book).Build();
}

const CallPolicy* Configuration::FindCallPolicy(std::string_view service, std::string_view method,
                                                std::string_view path) const {
  const auto found = this->services.find(service);
  if (found == this->services.end() || !found->second.service_policy.by_path) return nullptr;
  path = path.substr(0, path.find('?'));
  for (const Route& route : found->second.routes) {
    const bool has_method = route.method == "*" || route.method == method;
    if (has_method && MatchesPath(path, route.path)) return &route.policy;
  }
  return &found->second.policy;
}

const ServicePolicy* Configuration::FindServicePolicy(std::string_view service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : &found->second.service_policy;
}

}  // namespace fireflyrun::records
