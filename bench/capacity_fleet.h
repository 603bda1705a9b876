#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "tests/integration/fleet.h"

namespace fireflyrun::bench {

/// What one node has used since it started.
struct NodeUsage {
  double sent_bytes = 0;
  double received_bytes = 0;
  double sent_messages = 0;
  double processor_seconds = 0;
  double resident_kilobytes = 0;
};

/// All nodes at one time, in order of their numbers.
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

  /// Every node knows every other and has records; false after `limit`.
  bool WaitWhole(std::chrono::milliseconds limit);
  /// The node knows as many members as there are.
  bool IsWhole(int node) const;
  double Metric(int node, const std::string& name) const;

  FleetUsage Read() const;

  /// Tells a node of a target that does not exist; false while the node does not answer.
  bool Announce(int node, int slots, const std::string& state) const;
  /// The node's list of targets has this one of `target` with these slots and this state.
  bool Sees(int node, int target, int slots, const std::string& state) const;

 private:
  int zones;
  std::vector<std::string> names;
  integration::Fleet fleet;
};

}  // namespace fireflyrun::bench
