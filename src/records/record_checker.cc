#include "records/record_checker.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <string>
#include <utility>

#include "records/host_name.h"
#include "records/json_reader.h"
#include "records/record_parser.h"
#include "records/record_reference.h"

namespace fireflyrun::records {
namespace {

using Json = nlohmann::json;
using NamedKind = std::pair<RecordKind, std::string>;

/// One record of a file and the place where it starts.
struct PlacedRecord {
  std::string place;
  Record record;
};

std::set<NamedKind> NamesInForce(const std::vector<RecordEntry>& entries) {
  std::set<NamedKind> names;
  for (const RecordEntry& entry : entries) {
    if (!entry.retired) names.emplace(entry.key.kind, entry.key.name);
  }
  return names;
}

std::string PlaceOf(std::string place, std::string_view pointer) {
  if (place.back() != '/') place += '/';
  place += pointer;
  return place;
}

void CheckDuplicates(const std::vector<PlacedRecord>& placed_records, Findings& findings) {
  std::map<RecordKey, std::string> first_places;
  for (const PlacedRecord& item : placed_records) {
    const auto [first, is_new] = first_places.emplace(item.record.key, item.place);
    if (is_new) continue;
    findings.push_back(
        {item.place, fmt::format("repeats {}, which is first defined at {}; allowed is once",
                                 FormatRecordKey(item.record.key), first->second)});
  }
}

void CheckReferences(const std::vector<PlacedRecord>& placed_records,
                     const std::set<NamedKind>& named_in_file,
                     const std::vector<RecordEntry>& known, Findings& findings) {
  std::set<NamedKind> names = NamesInForce(known);
  names.insert(named_in_file.begin(), named_in_file.end());
  for (const PlacedRecord& item : placed_records) {
    for (const RecordReference& reference :
         FindReferences(item.record.key.kind, item.record.body)) {
      if (names.contains({reference.kind, reference.name})) continue;
      findings.push_back(
          {PlaceOf(item.place, reference.pointer),
           fmt::format("names the {} \"{}\", which does not exist or is retired; allowed is one "
                       "of this file or of the store",
                       kRecordKindNames.NameOf(reference.kind), Printable(reference.name))});
    }
  }
}

using HostAndPrefix = std::pair<std::string, std::string>;

HostAndPrefix SelectorOf(const RouteRecord& route) {
  return {NormalizeHost(route.host), route.prefix};
}

/// Names of the routes in the store that the file doesn't replace, by host and prefix.
std::map<HostAndPrefix, std::string> UnchangedRoutes(const std::set<NamedKind>& named_in_file,
                                                     const std::vector<RecordEntry>& known) {
  std::map<HostAndPrefix, std::string> names;
  for (const RecordEntry& entry : known) {
    const bool is_replaced = named_in_file.contains({entry.key.kind, entry.key.name});
    if (entry.retired || is_replaced || entry.key.kind != RecordKind::kRoute) continue;
    Findings ignored;  // Errors in the store are not errors of this file.
    const Json body = Json::parse(entry.body, nullptr, false);
    const auto record = ParseRecord(body, "", ignored);
    if (!record) continue;
    if (const auto* route = std::get_if<RouteRecord>(&record->content)) {
      names.emplace(SelectorOf(*route), route->name);
    }
  }
  return names;
}

/// Reports routes with the same host and prefix, since only one of them could be in force.
void CheckSelectors(const std::vector<PlacedRecord>& placed_records,
                    const std::set<NamedKind>& named_in_file, const std::vector<RecordEntry>& known,
                    Findings& findings) {
  auto names = UnchangedRoutes(named_in_file, known);
  for (const PlacedRecord& item : placed_records) {
    const auto* route = std::get_if<RouteRecord>(&item.record.content);
    if (route == nullptr) continue;
    const auto [first, is_new] = names.emplace(SelectorOf(*route), route->name);
    if (is_new || first->second == route->name) continue;
    findings.push_back({PlaceOf(item.place, "prefix"),
                        fmt::format("has the same host and prefix as the route \"{}\"; allowed is "
                                    "one route for both",
                                    first->second)});
  }
}

/// Adds the kind and name that a record defines, even if the rest of it is invalid, so that
/// references to it are not reported as further errors.
void CollectName(const Json& value, std::set<NamedKind>& names) {
  if (!value.is_object()) return;
  const auto kind = value.find("kind");
  const auto name = value.find("name");
  if (kind == value.end() || name == value.end()) return;
  if (!kind->is_string() || !name->is_string()) return;
  const auto known_kind = kRecordKindNames.ValueOf(kind->get_ref<const std::string&>());
  if (known_kind) names.emplace(*known_kind, name->get<std::string>());
}

/// Parses every record of the file and checks duplicates, references and route selectors.
std::vector<PlacedRecord> ParseAll(const Json& document, const std::string& root,
                                   const std::vector<RecordEntry>& known, Findings& findings) {
  std::vector<PlacedRecord> placed_records;
  std::set<NamedKind> named_in_file;
  const auto parse_one = [&](const Json& value, const std::string& place) {
    CollectName(value, named_in_file);
    if (auto record = ParseRecord(value, place, findings)) {
      placed_records.push_back({place, std::move(*record)});
    }
  };
  if (document.is_array()) {
    for (std::size_t i = 0; i < document.size() && findings.size() < kMaxFindings; ++i) {
      parse_one(document[i], ChildPlace(root, std::to_string(i)));
    }
  } else {
    parse_one(document, root);
  }
  CheckDuplicates(placed_records, findings);
  CheckReferences(placed_records, named_in_file, known, findings);
  CheckSelectors(placed_records, named_in_file, known, findings);
  return placed_records;
}

void LimitFindings(const std::string& root, Findings& findings) {
  if (findings.size() <= kMaxFindings) return;
  findings.resize(kMaxFindings);
  findings.push_back({root, "has more findings than are listed"});
}

void CheckRecordCount(const Json& document, const std::string& root, Findings& findings) {
  if (!document.is_array()) return;
  if (document.empty()) {
    findings.push_back({root, "holds no record; allowed are 1 to 100"});
  }
  if (document.size() <= kMaxRecordsPerFile) return;
  findings.push_back({root, fmt::format("holds {} records; allowed are 1 to {}", document.size(),
                                        kMaxRecordsPerFile)});
}

}  // namespace

CheckedRecords CheckRecords(std::string_view file_name, std::string_view text,
                            const std::vector<RecordEntry>& known) {
  CheckedRecords checked;
  const std::string root = std::string(file_name) + ":/";
  if (text.size() > kMaxFileBytes) {
    checked.findings.push_back(
        {root, fmt::format("has {} bytes; allowed are {}", text.size(), kMaxFileBytes)});
    return checked;
  }
  const auto document = ReadJson(file_name, text, checked.findings);
  if (!document) return checked;
  CheckRecordCount(*document, root, checked.findings);
  auto placed_records = ParseAll(*document, root, known, checked.findings);
  LimitFindings(root, checked.findings);
  if (!checked.findings.empty()) return checked;
  for (PlacedRecord& item : placed_records) {
    checked.records.push_back(std::move(item.record));
  }
  return checked;
}

Findings CheckRetirement(const std::vector<RecordKey>& keys,
                         const std::vector<RecordEntry>& known) {
  Findings findings;
  const std::set<RecordKey> retiring(keys.begin(), keys.end());
  std::vector<RecordEntry> remaining;
  std::set<RecordKey> in_force;
  for (const RecordEntry& entry : known) {
    if (entry.retired) continue;
    in_force.insert(entry.key);
    if (!retiring.contains(entry.key)) remaining.push_back(entry);
  }
  std::set<NamedKind> removed_names;
  const std::set<NamedKind> remaining_names = NamesInForce(remaining);
  for (const RecordKey& key : retiring) {
    if (!in_force.contains(key)) {
      findings.push_back({FormatRecordKey(key), "does not exist or is retired already"});
    } else if (!remaining_names.contains({key.kind, key.name})) {
      removed_names.emplace(key.kind, key.name);
    }
  }
  for (const RecordEntry& entry : remaining) {
    for (const RecordReference& reference : FindReferences(entry.key.kind, entry.body)) {
      if (!removed_names.contains({reference.kind, reference.name})) continue;
      findings.push_back({fmt::format("{}:/{}", FormatRecordKey(entry.key), reference.pointer),
                          fmt::format("still names the {} \"{}\"; allowed is to retire it when "
                                      "no record names it",
                                      kRecordKindNames.NameOf(reference.kind), reference.name)});
    }
  }
  return findings;
}

}  // namespace fireflyrun::records
