#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "tests/integration/fleet.h"

namespace fireflyrun::bench {

/// Resources that one node has used since it started, and its resident memory now.
struct NodeUsage {
  double sent_bytes = 0;
  double received_bytes = 0;
  double sent_messages = 0;
  double processor_seconds = 0;
  double resident_kilobytes = 0;
};

/// Usage of all nodes at one time, by node index.
struct FleetUsage {
  std::chrono::steady_clock::time_point at;
  std::vector<NodeUsage> nodes;
  double store_calls = 0;
};

/// A fleet of nodes without targets, `zone_nodes` in each of `zone_count` zones.
class CapacityFleet {
 public:
  CapacityFleet(int zone_count, int zone_nodes);

  int Zones() const { return this->zones; }
  int Nodes() const { return static_cast<int>(this->names.size()); }
  const std::string& Name(int node) const { return this->names[static_cast<std::size_t>(node)]; }
  integration::Fleet& Processes() { return this->fleet; }

  /// Waits until every node has a complete view; false after `limit`.
  bool WaitForCompleteViews(std::chrono::milliseconds limit);
  /// Whether the node knows as many members as there are nodes, and has records.
  bool HasCompleteView(int node) const;
  double Metric(int node, const std::string& name) const;

  FleetUsage Read() const;

  /// Announces a target that does not exist to a node; false unless it answers 204.
  bool Announce(int node, int slots, const std::string& state) const;
  /// Whether `node` lists the target of node `target` with these slots and this state.
  bool ListsTarget(int node, int target, int slots, const std::string& state) const;

 private:
  int zones;
  std::vector<std::string> names;
  integration::Fleet fleet;
};

}  // namespace fireflyrun::bench
