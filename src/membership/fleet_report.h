#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fireflyrun::membership {

/// One zone as its members report it.
struct ZoneReport {
  std::string zone;
  std::string region;
  std::size_t nodes = 0;
  std::size_t reachable = 0;
  std::vector<std::string> unreachable;
  std::size_t answered = 0;
  std::map<std::uint64_t, std::size_t> revision_counts;  ///< Nodes that answered, by revision.
  std::vector<std::string> lagging;  ///< Nodes below the highest revision of the fleet.
};

/// The fleet as collected once.
struct FleetReport {
  std::vector<ZoneReport> zones;
  std::uint64_t revision = 0;  ///< The highest that any node reported.
  std::vector<std::string> conflicts;
};

/// `{"zones": [{"zone", "region", "nodes", "reachable", "unreachable", "answered",
/// "revision_counts", "lagging"}], "revision", "conflicts"}`.
std::string ToJson(const FleetReport& report);

}  // namespace fireflyrun::membership
