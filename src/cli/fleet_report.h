#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace fireflyrun::cli {

/// State of one zone as seen by the queried node.
struct ZoneReport {
  std::string zone;
  int nodes = 0;
  int reachable = 0;
  std::map<std::int64_t, int> revision_counts;  ///< Reachable nodes per record revision in force.
  std::vector<std::string> lagging;             ///< Names of nodes behind the newest revision.

  /// Number of nodes that have `revision` or a later one in force.
  int CountInForce(std::int64_t revision) const;
};

using FleetReport = std::vector<ZoneReport>;

/// Parses the response to `GET /fleet`; the error describes what is malformed.
tl::expected<FleetReport, std::string> ParseFleetReport(std::string_view text);

/// True if at least one node is reachable and every reachable node has `revision` or a later one in
/// force.
bool IsInForce(const FleetReport& report, std::int64_t revision);

/// Prints one line per zone, then one line for each zone that has lagging nodes.
void PrintFleetReport(std::ostream& out, const FleetReport& report, std::int64_t revision);

}  // namespace fireflyrun::cli
