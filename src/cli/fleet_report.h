#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace fireflyrun::cli {

/// One zone as the node that was asked sees it.
struct ZoneReport {
  std::string zone;
  int nodes = 0;
  int reachable = 0;
  std::map<std::int64_t, int> revision_counts;  ///< Reachable nodes by their records' revision.
  std::vector<std::string> lagging;             ///< Names of nodes behind the newest revision.

  /// Nodes that have `revision` or a later one in force.
  int CountInForce(std::int64_t revision) const;
};

using FleetReport = std::vector<ZoneReport>;

/// Reads the answer to `GET /fleet`; the error says what is wrong with it.
tl::expected<FleetReport, std::string> ParseFleetReport(std::string_view text);

/// True when every reachable node has `revision` or a later one in force, and there is one.
bool IsInForce(const FleetReport& report, std::int64_t revision);

/// One line a zone, and one for each that has lagging nodes.
void PrintFleetReport(std::ostream& out, const FleetReport& report, std::int64_t revision);

}  // namespace fireflyrun::cli
