#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "records/book_revision.h"

namespace fireflyrun::membership {

/// The state of one zone as reported by its members.
struct ZoneReport {
  std::string zone;
  std::string region;
  std::size_t nodes = 0;
  std::size_t reachable = 0;
  std::vector<std::string> unreachable;
  std::size_t answered = 0;
  std::map<records::BookRevision, std::size_t> revision_counts;  ///< Nodes that replied.
  std::vector<std::string> lagging;  ///< Nodes below the highest revision in the fleet.
};

/// The result of one fleet collection.
struct FleetReport {
  std::vector<ZoneReport> zones;
  records::BookRevision revision;  ///< The highest revision that any node reported.
  std::vector<std::string> conflicts;
};

/// Renders the report as `{"zones": [{"zone", "region", "nodes", "reachable", "unreachable",
/// "answered", "revision_counts", "lagging"}], "revision", "conflicts"}`. The revision is a number,
/// or a text if it has a rest.
std::string ToJson(const FleetReport& report);

}  // namespace fireflyrun::membership
