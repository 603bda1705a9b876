#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "policy/fleet_retry_bound.h"
#include "policy/free_retry_eligibility.h"
#include "policy/windowed_retry_budget.h"
#include "tests/policy/fake_target.h"

namespace fireflyrun::policy {

/// Simulates nodes that share the retry bound of a chain of services, in which each run at one
/// level makes one call to the next level. Callers move between nodes; targets fail; nodes join,
/// leave, restart and are partitioned; and each node's view lacks a few members.
class SimulatedFleet {
 public:
  static constexpr double kStep = 0.1;  ///< Seconds per step.
  static constexpr int kWindowSteps = 100;
  static constexpr int kHalfWindow = kWindowSteps / 2;

  SimulatedFleet(std::uint32_t seed, const FleetRetryBound& fleet_bound, std::size_t members)
      : bound(fleet_bound), generator(seed) {
    for (std::size_t i = 0; i < members; ++i) this->Join(-kWindowSteps);
    this->requests.resize(fleet_bound.levels);
    this->repeats.resize(fleet_bound.levels);
  }

  void Run(int steps, std::uint32_t max_calls) {
    for (this->step = 0; this->step < steps; ++this->step) {
      if (this->traffic_steps_left-- == 0) this->ChangeTraffic(max_calls);
      if (this->Chance(8)) this->ChangeMembers();
      this->UpdateSummaries();
      for (int level = 0; level < this->bound.levels; ++level) {
        this->requests[level].push_back(0);
        this->repeats[level].push_back(0);
      }
      const std::uint32_t calls =
          this->max_calls_per_step == 0 ? 0 : this->RandomBelow(this->max_calls_per_step);
      for (std::uint32_t i = 0; i < calls; ++i) this->Call(0, this->PickBusyNode(), false);
    }
  }

  /// Maximum excess of repeats over the bound, of any service in any window; 0 if within the bound.
  double WorstExcess() const {
    double worst = 0;
    for (int level = 0; level < this->bound.levels; ++level) {
      for (int end = 0; end < this->step; ++end) {
        const int max_requests = std::max({Sum(this->requests[level], end),
                                           Sum(this->requests[level], end - kHalfWindow),
                                           Sum(this->requests[level], end - kWindowSteps)});
        const double allowed = this->bound.ratio * max_requests + this->bound.extra;
        worst = std::max(worst, Sum(this->repeats[level], end) - allowed);
      }
    }
    return worst;
  }

  int Repeats(int level) const { return SumAll(this->repeats[level]); }

 private:
  static constexpr int kNeverKnown = std::numeric_limits<int>::max();

  struct Node {
    std::uint64_t hash = 0;
    int side = 0;                           ///< Side of the network partition.
    std::map<std::size_t, int> known_from;  ///< Per member: first step in which this node knows it.
    std::set<std::size_t> unknown;          ///< Members that this node never learns of.
    bool present = true;
    std::vector<WindowedRetryBudget> budgets;  ///< By level.
    FreeRetryEligibility eligibility;
  };

  static int SumAll(const std::vector<int>& counts) {
    int sum = 0;
    for (const int count : counts) sum += count;
    return sum;
  }

  /// The sum over the window that ends with step `end`.
  static int Sum(const std::vector<int>& counts, int end) {
    int sum = 0;
    for (int i = std::max(0, end - kWindowSteps + 1); i <= end; ++i) sum += counts[i];
    return sum;
  }

  std::uint32_t RandomBelow(std::uint32_t limit) { return this->generator() % limit; }
  bool Chance(std::uint32_t percent) { return this->RandomBelow(100) < percent; }
  SteadyTime Now() const { return AtSeconds(this->step * kStep); }

  void Restart(Node& node, int at) {
    node.budgets.assign(this->bound.levels, WindowedRetryBudget(this->bound));
    node.eligibility = FreeRetryEligibility(this->bound);
    node.eligibility.OnFleetSummary({this->bound.FreeRetries(), 1, 1, false},
                                    AtSeconds(at * kStep));
  }

  void Join(int at) {
    Node node{this->generator(), 0, {}, {}, true, {}, FreeRetryEligibility(this->bound)};
    const std::size_t self = this->nodes.size();
    if (this->partitioned && this->small_side_vacancies > 0 && this->Chance(50)) {
      node.side = 1;
      --this->small_side_vacancies;
    }
    for (Node& other : this->nodes) {
      const bool same_side = other.side == node.side;
      other.known_from[self] = same_side ? at + this->PropagationDelay() : kNeverKnown;
    }
    node.unknown = this->PickUnknown();
    this->Restart(node, at);
    this->nodes.push_back(std::move(node));
    this->changed = true;
  }

  void ChangeMembers() {
    this->changed = true;
    Node& node = this->nodes[this->RandomBelow(static_cast<std::uint32_t>(this->nodes.size()))];
    switch (this->RandomBelow(5)) {
      case 0:
        this->Join(this->step);
        return;
      case 1:
        node.present = false;
        return;
      case 2:
        this->TogglePartition();
        return;
      default:
        this->Restart(node, this->step);
    }
  }

  /// Random members, as many as the holder margin allows, from the first in the common order.
  std::set<std::size_t> PickUnknown() {
    std::vector<std::size_t> order(this->nodes.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [this](std::size_t one, std::size_t other) {
      return this->nodes[one].hash > this->nodes[other].hash;
    });
    order.resize(std::min(order.size(), this->bound.FreeRetries()));
    std::shuffle(order.begin(), order.end(), this->generator);
    order.resize(std::min(order.size(), this->bound.HolderMargin()));
    return {order.begin(), order.end()};
  }

  int PropagationDelay() { return static_cast<int>(this->RandomBelow(30)); }

  /// Partitions off fewer than half of the present members, or heals the partition.
  void TogglePartition() {
    this->partitioned = !this->partitioned;
    if (!this->partitioned) {
      this->HealPartition();
      return;
    }
    std::size_t present = 0;
    for (const Node& node : this->nodes) present += node.present ? 1 : 0;
    this->small_side_vacancies = (present - std::min<std::size_t>(present, 1)) / 2;
    for (Node& node : this->nodes) {
      if (!node.present || this->small_side_vacancies == 0 || !this->Chance(40)) continue;
      node.side = 1;
      --this->small_side_vacancies;
    }
  }

  void HealPartition() {
    for (Node& node : this->nodes) {
      node.side = 0;
      for (auto& [member, known_step] : node.known_from) {
        if (known_step == kNeverKnown) known_step = this->step + this->PropagationDelay();
      }
    }
  }

  bool Knows(const Node& node, std::size_t other) const {
    const Node& member = this->nodes[other];
    if (node.unknown.contains(other)) return false;
    if (!member.present && member.side == node.side) return false;
    const auto known_from = node.known_from.find(other);
    return known_from == node.known_from.end() || known_from->second <= this->step;
  }

  void UpdateSummaries() {
    const bool updates_propagating = this->step % 5 == 0;
    if (!std::exchange(this->changed, false) && !updates_propagating) return;
    for (Node& node : this->nodes) {
      FleetSummary summary{0, 1, 1, true};
      for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        const Node& other = this->nodes[i];
        if (&other == &node || !this->Knows(node, i)) continue;
        ++summary.members;
        if (other.present && other.side == node.side) ++summary.reachable;
        if (other.hash > node.hash) ++summary.preceding;
      }
      node.eligibility.OnFleetSummary(summary, this->Now());
    }
  }

  /// Draws the number of calls, their nodes and their failure rate for up to one window.
  void ChangeTraffic(std::uint32_t max_calls) {
    this->traffic_steps_left = static_cast<int>(this->RandomBelow(kWindowSteps));
    this->max_calls_per_step = this->Chance(30) ? 2 : this->RandomBelow(max_calls + 1);
    this->fail_percent = this->Chance(50) ? 100 : this->RandomBelow(2) * this->RandomBelow(60);
    const auto members = static_cast<std::uint32_t>(this->nodes.size());
    this->first_busy_node = this->Chance(50) ? members / 2 : 0;
    this->busy_nodes = this->Chance(30) ? members : (members + 1) / 2;
  }

  std::size_t PickBusyNode() {
    return (this->first_busy_node + this->RandomBelow(this->busy_nodes)) % this->nodes.size();
  }

  /// Whether the call succeeded.
  bool Call(int level, std::size_t at, bool by_repeat) {
    Node& node = this->nodes[at];
    if (!node.present) return false;
    ++this->requests[level].back();
    bool repeat = false;
    for (int attempt = 0; attempt < 3; ++attempt) {
      if (repeat || by_repeat) ++this->repeats[level].back();
      if (this->RunOnce(level, repeat || by_repeat)) {
        node.budgets[level].OnSuccess(this->Now());
        return true;
      }
      if (!node.budgets[level].TrySpend(node.eligibility.IsEligible(this->Now()), this->Now()))
        return false;
      repeat = true;
    }
    return false;
  }

  bool RunOnce(int level, bool is_repeat) {
    const bool last = level + 1 == this->bound.levels;
    if (!last && !this->Call(level + 1, this->PickBusyNode(), is_repeat)) return false;
    return !this->Chance(last ? this->fail_percent : this->fail_percent / 4);
  }

  FleetRetryBound bound;
  std::mt19937 generator;
  std::vector<Node> nodes;
  std::vector<std::vector<int>> requests;  ///< First attempts of all calls, by level and step.
  std::vector<std::vector<int>> repeats;   ///< Repeated requests, by level and step.
  int step = 0;
  bool partitioned = false;
  std::size_t small_side_vacancies = 0;  ///< Keeps the small side below half of the fleet.
  bool changed = true;
  int traffic_steps_left = 0;
  std::uint32_t max_calls_per_step = 0;
  std::uint32_t fail_percent = 0;
  std::size_t first_busy_node = 0;
  std::uint32_t busy_nodes = 1;
};

}  // namespace fireflyrun::policy
