#include "cli/fleet_report.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace fireflyrun::cli {
namespace {

using Json = nlohmann::json;

constexpr int kZoneColumn = 20;
constexpr int kCountColumn = 11;

std::optional<int> ReadCount(const Json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end() || !found->is_number_unsigned()) return std::nullopt;
  return found->get<int>();
}

bool ReadRevisionCounts(const Json& zone, ZoneReport& report) {
  const auto counts = zone.find("revision_counts");
  if (counts == zone.end() || !counts->is_object()) return false;
  for (const auto& [text, count] : counts->items()) {
    const auto revision = records::ParseRevision(text);
    if (!revision || !count.is_number_unsigned()) return false;
    report.revision_counts[*revision] = count.get<int>();
  }
  return true;
}

void ReadLagging(const Json& zone, ZoneReport& report) {
  const auto lagging = zone.find("lagging");
  if (lagging == zone.end() || !lagging->is_array()) return;
  for (const Json& name : *lagging) {
    if (name.is_string()) report.lagging.push_back(name.get<std::string>());
  }
}

std::optional<ZoneReport> ReadZone(const Json& zone) {
  if (!zone.is_object()) return std::nullopt;
  const auto name = zone.find("zone");
  const auto nodes = ReadCount(zone, "nodes");
  const auto reachable = ReadCount(zone, "reachable");
  if (name == zone.end() || !name->is_string() || !nodes || !reachable) return std::nullopt;
  ZoneReport report;
  report.zone = name->get<std::string>();
  report.nodes = *nodes;
  report.reachable = *reachable;
  if (!ReadRevisionCounts(zone, report)) return std::nullopt;
  ReadLagging(zone, report);
  return report;
}

}  // namespace

int ZoneReport::CountInForce(const records::BookRevision& revision) const {
  int count = 0;
  for (auto entry = this->revision_counts.lower_bound(revision);
       entry != this->revision_counts.end(); ++entry) {
    count += entry->second;
  }
  return count;
}

tl::expected<FleetReport, std::string> ParseFleetReport(std::string_view text) {
  const Json parsed = Json::parse(text.begin(), text.end(), nullptr, false);
  if (!parsed.is_object() || !parsed.contains("zones") || !parsed["zones"].is_array()) {
    return tl::unexpected(std::string("the response is not a fleet report"));
  }
  FleetReport report;
  for (const Json& zone : parsed["zones"]) {
    auto read = ReadZone(zone);
    if (!read) return tl::unexpected(std::string("the response contains a malformed zone"));
    report.push_back(std::move(*read));
  }
  return report;
}

bool IsInForce(const FleetReport& report, const records::BookRevision& revision) {
  int reachable = 0;
  for (const ZoneReport& zone : report) {
    if (zone.CountInForce(revision) < zone.reachable) return false;
    reachable += zone.reachable;
  }
  return reachable > 0;
}

void PrintFleetReport(std::ostream& out, const FleetReport& report,
                      const records::BookRevision& revision) {
  out << std::left << std::setw(kZoneColumn) << "ZONE" << std::right << std::setw(kCountColumn)
      << "NODES" << std::setw(kCountColumn) << "REACHABLE" << std::setw(kCountColumn) << "UNREACHED"
      << std::setw(kCountColumn) << "IN FORCE"
      << "\n";
  for (const ZoneReport& zone : report) {
    out << std::left << std::setw(kZoneColumn) << zone.zone << std::right << std::setw(kCountColumn)
        << zone.nodes << std::setw(kCountColumn) << zone.reachable << std::setw(kCountColumn)
        << zone.nodes - zone.reachable << std::setw(kCountColumn) << zone.CountInForce(revision)
        << "\n";
  }
  for (const ZoneReport& zone : report) {
    if (zone.lagging.empty()) continue;
    out << "Lagging in " << zone.zone << ":";
    for (const std::string& node : zone.lagging) {
      out << " " << node;
    }
    out << "\n";
  }
}

}  // namespace fireflyrun::cli
