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

/// Nodes that share the retry bound of a chain of services: a run at one level makes one call to
/// the next. Callers move between nodes, targets fail, nodes join, leave, start anew and are cut
/// off, and each node's view lacks a few of the others. All in steps of kStep seconds.
class SimulatedFleet {
 public:
  static constexpr double kStep = 0.1;
  static constexpr int kWindowSteps = 100;
  static constexpr int kHalfWindow = kWindowSteps / 2;

  SimulatedFleet(std::uint32_t seed, const FleetRetryBound& fleet_bound, std::size_t members)
      : bound(fleet_bound), generator(seed) {
    for (std::size_t i = 0; i < members; ++i) this->Join(-kWindowSteps);
    this->requests.resize(fleet_bound.levels);
    this->repeats.resize(fleet_bound.levels);
  }

  void Run(int steps, std::uint32_t most_calls) {
    for (this->step = 0; this->step < steps; ++this->step) {
      if (this->weather_left-- == 0) this->ChangeWeather(most_calls);
      if (this->Chance(8)) this->ChangeMembers();
      this->Look();
      for (int level = 0; level < this->bound.levels; ++level) {
        this->requests[level].push_back(0);
        this->repeats[level].push_back(0);
      }
      const std::uint32_t calls = this->calls_a_step == 0 ? 0 : this->Below(this->calls_a_step);
      for (std::uint32_t i = 0; i < calls; ++i) this->Call(0, this->PickBusy(), false);
    }
  }

  /// Most repeats beyond the bound of any service in any window; 0 if within it.
  double WorstExcess() const {
    double worst = 0;
    for (int level = 0; level < this->bound.levels; ++level) {
      for (int end = 0; end < this->step; ++end) {
        const int most_requests = std::max({Sum(this->requests[level], end),
                                            Sum(this->requests[level], end - kHalfWindow),
                                            Sum(this->requests[level], end - kWindowSteps)});
        const double allowed = this->bound.ratio * most_requests + this->bound.extra;
        worst = std::max(worst, Sum(this->repeats[level], end) - allowed);
      }
    }
    return worst;
  }

  int Repeats(int level) const { return SumAll(this->repeats[level]); }

 private:
  static constexpr int kNever = std::numeric_limits<int>::max();

  struct Node {
    std::uint64_t hash = 0;
    int side = 0;                     ///< Of a cut fleet.
    std::map<std::size_t, int> late;  ///< Members heard of from that step on.
    std::set<std::size_t> unknown;    ///< Never heard of.
    bool present = true;
    std::vector<WindowedRetryBudget> budgets;  ///< By level.
    FreeRetryEligibility holding;
  };

  static int SumAll(const std::vector<int>& counts) {
    int sum = 0;
    for (const int count : counts) sum += count;
    return sum;
  }

  /// Over the window that ends with step `end`.
  static int Sum(const std::vector<int>& counts, int end) {
    int sum = 0;
    for (int i = std::max(0, end - kWindowSteps + 1); i <= end; ++i) sum += counts[i];
    return sum;
  }

  std::uint32_t Below(std::uint32_t limit) { return this->generator() % limit; }
  bool Chance(std::uint32_t percent) { return this->Below(100) < percent; }
  SteadyTime Now() const { return AtSeconds(this->step * kStep); }

  void Start(Node& node, int at) {
    node.budgets.assign(this->bound.levels, WindowedRetryBudget(this->bound));
    node.holding = FreeRetryEligibility(this->bound);
    node.holding.OnFleetSummary({this->bound.FreeRetries(), 1, 1, false}, AtSeconds(at * kStep));
  }

  void Join(int at) {
    Node node{this->generator(), 0, {}, {}, true, {}, FreeRetryEligibility(this->bound)};
    const std::size_t self = this->nodes.size();
    if (this->cut && this->may_join_small_side > 0 && this->Chance(50)) {
      node.side = 1;
      --this->may_join_small_side;
    }
    for (Node& other : this->nodes) {
      const bool heard = other.side == node.side;
      other.late[self] = heard ? at + this->NewsDelay() : kNever;
    }
    node.unknown = this->PickUnknown();
    this->Start(node, at);
    this->nodes.push_back(std::move(node));
    this->changed = true;
  }

  void ChangeMembers() {
    this->changed = true;
    Node& node = this->nodes[this->Below(static_cast<std::uint32_t>(this->nodes.size()))];
    switch (this->Below(5)) {
      case 0:
        this->Join(this->step);
        return;
      case 1:
        node.present = false;
        return;
      case 2:
        this->Cut();
        return;
      default:
        this->Start(node, this->step);
    }
  }

  /// As many as the margin, of those that precede most others.
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

  int NewsDelay() { return static_cast<int>(this->Below(30)); }

  /// Cuts off fewer than half of the members that are there, or heals the cut.
  void Cut() {
    this->cut = !this->cut;
    if (!this->cut) {
      this->Heal();
      return;
    }
    std::size_t present = 0;
    for (const Node& node : this->nodes) present += node.present ? 1 : 0;
    this->may_join_small_side = (present - std::min<std::size_t>(present, 1)) / 2;
    for (Node& node : this->nodes) {
      if (!node.present || this->may_join_small_side == 0 || !this->Chance(40)) continue;
      node.side = 1;
      --this->may_join_small_side;
    }
  }

  void Heal() {
    for (Node& node : this->nodes) {
      node.side = 0;
      for (auto& [member, step_heard] : node.late) {
        if (step_heard == kNever) step_heard = this->step + this->NewsDelay();
      }
    }
  }

  bool Knows(const Node& node, std::size_t other) const {
    const Node& member = this->nodes[other];
    if (node.unknown.contains(other)) return false;
    if (!member.present && member.side == node.side) return false;
    const auto late = node.late.find(other);
    return late == node.late.end() || late->second <= this->step;
  }

  void Look() {
    const bool news_on_their_way = this->step % 5 == 0;
    if (!std::exchange(this->changed, false) && !news_on_their_way) return;
    for (Node& node : this->nodes) {
      FleetSummary summary{0, 1, 1, true};
      for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        const Node& other = this->nodes[i];
        if (&other == &node || !this->Knows(node, i)) continue;
        ++summary.members;
        if (other.present && other.side == node.side) ++summary.reachable;
        if (other.hash > node.hash) ++summary.preceding;
      }
      node.holding.OnFleetSummary(summary, this->Now());
    }
  }

  /// How many calls come, to which nodes, and how many of them fail, for up to a window.
  void ChangeWeather(std::uint32_t most_calls) {
    this->weather_left = static_cast<int>(this->Below(kWindowSteps));
    this->calls_a_step = this->Chance(30) ? 2 : this->Below(most_calls + 1);
    this->fail_percent = this->Chance(50) ? 100 : this->Below(2) * this->Below(60);
    const auto members = static_cast<std::uint32_t>(this->nodes.size());
    this->busy_from = this->Chance(50) ? members / 2 : 0;
    this->busy_nodes = this->Chance(30) ? members : (members + 1) / 2;
  }

  std::size_t PickBusy() {
    return (this->busy_from + this->Below(this->busy_nodes)) % this->nodes.size();
  }

  /// Whether the call came to a good end.
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
      if (!node.budgets[level].TrySpend(node.holding.IsEligible(this->Now()), this->Now()))
        return false;
      repeat = true;
    }
    return false;
  }

  bool RunOnce(int level, bool is_repeat) {
    const bool last = level + 1 == this->bound.levels;
    if (!last && !this->Call(level + 1, this->PickBusy(), is_repeat)) return false;
    return !this->Chance(last ? this->fail_percent : this->fail_percent / 4);
  }

  FleetRetryBound bound;
  std::mt19937 generator;
  std::vector<Node> nodes;
  std::vector<std::vector<int>> requests;  ///< By level and step, first attempts of all calls.
  std::vector<std::vector<int>> repeats;   ///< Likewise.
  int step = 0;
  bool cut = false;
  std::size_t may_join_small_side = 0;  ///< So that it stays below half of the fleet.
  bool changed = true;
  int weather_left = 0;  ///< Steps.
  std::uint32_t calls_a_step = 0;
  std::uint32_t fail_percent = 0;
  std::size_t busy_from = 0;
  std::uint32_t busy_nodes = 1;
};

}  // namespace fireflyrun::policy
