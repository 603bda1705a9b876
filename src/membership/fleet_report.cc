#include "membership/fleet_report.h"

#include <nlohmann/json.hpp>

namespace fireflyrun::membership {

namespace {

nlohmann::json ZoneToJson(const ZoneReport& zone) {
  nlohmann::json counts = nlohmann::json::object();
  for (const auto& [revision, count] : zone.revision_counts) {
    counts[records::FormatRevision(revision)] = count;
  }
  return {
      {"zone", zone.zone},           {"region", zone.region},           {"nodes", zone.nodes},
      {"reachable", zone.reachable}, {"unreachable", zone.unreachable}, {"answered", zone.answered},
      {"revision_counts", counts},   {"lagging", zone.lagging}};
}

}  // namespace

std::string ToJson(const FleetReport& report) {
  nlohmann::json zones = nlohmann::json::array();
  for (const ZoneReport& zone : report.zones) zones.push_back(ZoneToJson(zone));
  nlohmann::json revision = report.revision.number;
  if (!report.revision.rest.empty()) revision = records::FormatRevision(report.revision);
  const nlohmann::json document = {
      {"zones", zones}, {"revision", revision}, {"conflicts", report.conflicts}};
  // Node names are free text; bytes that are not UTF-8 must not make the report fail.
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace fireflyrun::membership
