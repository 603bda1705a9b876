#pragma once

#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "records/book_revision.h"

namespace fireflyrun::cli {

/// State of one zone as seen by the queried node.
struct ZoneReport {
  std::string zone;
  int nodes = 0;
  int reachable = 0;
  /// Reachable nodes per record revision in force.
  std::map<records::BookRevision, int> revision_counts;
  std::vector<std::string> lagging;  ///< Names of nodes behind the newest revision.

  /// Number of nodes that have `revision` or a later one in force.
  int CountInForce(const records::BookRevision& revision) const;
};

using FleetReport = std::vector<ZoneReport>;

/// Parses the response to `GET /fleet`; the error describes what is malformed.
tl::expected<FleetReport, std::string> ParseFleetReport(std::string_view text);

/// True if at least one node is reachable and every reachable node has `revision` or a later one in
/// force.
bool IsInForce(const FleetReport& report, const records::BookRevision& revision);

/// Prints one line per zone, then one line for each zone that has lagging nodes.
void PrintFleetReport(std::ostream& out, const FleetReport& report,
                      const records::BookRevision& revision);

}  // namespace fireflyrun::cli
