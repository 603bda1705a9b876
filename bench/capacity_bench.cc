// Measures the cost of the control plane on fleets of real processes of several sizes. Run by
// scripts/bench-capacity; docs/CAPACITY.md explains the measures.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <numeric>
#include <sstream>
#include <vector>

#include "bench/capacity_fleet.h"
#include "bench/capacity_samples.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::bench {
namespace {

using integration::HoldsFor;
using integration::WaitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr seconds kStartTimeout{120};
constexpr seconds kWaitTimeout{60};
constexpr seconds kSettleTime{15};
constexpr seconds kIdleTime{20};
constexpr seconds kCostTail{3};  // After the last change or event, until the costs are read.
constexpr int kRepeats = 5;
constexpr int kChanges = 10;
constexpr int kRecordsPerChange = 10;
constexpr int kTargetEvents = 40;
constexpr int kNodesPerZone = 8;      // In the shapes that differ only in zones.
constexpr int kNodesPerRestart = 10;  // A burst restarts one node in this many.
constexpr int kDelegatesPerZone = 2;

double SecondsSince(steady_clock::time_point start) {
  return std::chrono::duration<double>(steady_clock::now() - start).count();
}

void WaitFor(milliseconds span) {
  HoldsFor(span, [] { return true; });
}

/// Bytes per second, and processor seconds per second.
struct Rates {
  double sent = 0;
  double received = 0;
  double processor = 0;
};

double MeanOf(std::vector<double>::const_iterator first, std::vector<double>::const_iterator last) {
  return std::accumulate(first, last, 0.0) / static_cast<double>(last - first);
}

/// Takes all measures of one fleet.
class FleetMeasures {
 public:
  FleetMeasures(int zone_count, int zone_nodes, CapacitySamples& all_samples)
      : samples(all_samples), started(steady_clock::now()), fleet(zone_count, zone_nodes) {}

  bool Run();

 private:
  void AddSample(const std::string& measure, double value) {
    this->samples.Add(measure, this->fleet.Zones(), this->fleet.Nodes(), value);
  }
  /// Waits until `condition` has held once for each node, in index order; false after kWaitTimeout.
  bool WaitForEachNode(const std::function<bool(int)>& condition);
  void MeasureIdle();
  void AddRoleMeans(const std::string& measure, std::vector<double> values);
  void MeasureChangeTime();
  void MeasureChangeCost();
  void MeasureEventCost();
  void AddCost(const std::string& name, const FleetUsage& before, int count);
  void MeasureTargetStateTime();
  void MeasureNewNode();
  void MeasureBurst();
  std::string ChangeFile(int records);

  CapacitySamples& samples;
  steady_clock::time_point started;
  CapacityFleet fleet;
  Rates idle;  ///< Sum over the whole fleet.
  int changes = 0;
  int slots = 1;
};

bool FleetMeasures::WaitForEachNode(const std::function<bool(int)>& condition) {
  int next = 0;
  return WaitUntil(kWaitTimeout, [this, &next, &condition] {
    while (next < this->fleet.Nodes() && condition(next)) ++next;
    return next == this->fleet.Nodes();
  });
}

bool FleetMeasures::Run() {
  if (!this->fleet.WaitForCompleteViews(kStartTimeout)) {
    std::printf("failed: views incomplete after %lld s\n",
                static_cast<long long>(kStartTimeout.count()));
    return false;
  }
  this->AddSample("first_start_seconds", SecondsSince(this->started));
  WaitFor(kSettleTime);
  this->MeasureIdle();
  this->MeasureChangeTime();
  this->MeasureChangeCost();
  this->MeasureEventCost();
  this->MeasureTargetStateTime();
  this->MeasureNewNode();
  this->MeasureBurst();
  return true;
}

void FleetMeasures::MeasureIdle() {
  const FleetUsage before = this->fleet.Read();
  WaitFor(kIdleTime);
  const FleetUsage after = this->fleet.Read();
  const double span = std::chrono::duration<double>(after.at - before.at).count();
  Rates highest;
  double resident = 0;
  double resident_highest = 0;
  double messages = 0;
  std::vector<double> sent_rates;
  std::vector<double> processor_rates;
  for (std::size_t i = 0; i < after.nodes.size(); ++i) {
    const NodeUsage& now = after.nodes[i];
    const NodeUsage& then = before.nodes[i];
    const Rates rates{(now.sent_bytes - then.sent_bytes) / span,
                      (now.received_bytes - then.received_bytes) / span,
                      (now.processor_seconds - then.processor_seconds) / span};
    this->idle.sent += rates.sent;
    this->idle.received += rates.received;
    this->idle.processor += rates.processor;
    sent_rates.push_back(rates.sent);
    processor_rates.push_back(100 * rates.processor);
    highest.sent = std::max(highest.sent, rates.sent);
    highest.received = std::max(highest.received, rates.received);
    highest.processor = std::max(highest.processor, rates.processor);
    messages += (now.sent_messages - then.sent_messages) / span;
    resident += now.resident_kilobytes;
    resident_highest = std::max(resident_highest, now.resident_kilobytes);
  }
  const double count = this->fleet.Nodes();
  this->AddSample("idle_sent_bytes_per_second", this->idle.sent / count);
  this->AddSample("idle_sent_highest_bytes_per_second", highest.sent);
  this->AddRoleMeans("idle_sent_bytes_per_second", sent_rates);
  this->AddRoleMeans("idle_processor_percent", processor_rates);
  this->AddSample("idle_received_bytes_per_second", this->idle.received / count);
  this->AddSample("idle_received_highest_bytes_per_second", highest.received);
  this->AddSample("idle_messages_per_second", messages / count);
  this->AddSample("idle_processor_percent", 100 * this->idle.processor / count);
  this->AddSample("idle_processor_highest_percent", 100 * highest.processor);
  this->AddSample("resident_kilobytes", resident / count);
  this->AddSample("resident_highest_kilobytes", resident_highest);
  this->AddSample("store_calls_per_second", (after.store_calls - before.store_calls) / span);
}

/// Delegates send most, so the highest values, one per delegate, count as theirs.
void FleetMeasures::AddRoleMeans(const std::string& measure, std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const auto delegates =
      values.end() - std::min(this->fleet.Zones() * kDelegatesPerZone, this->fleet.Nodes() - 1);
  this->AddSample("node_" + measure, MeanOf(values.begin(), delegates));
  this->AddSample("delegate_" + measure, MeanOf(delegates, values.end()));
}

std::string FleetMeasures::ChangeFile(int records) {
  std::ostringstream text;
  text << '[';
  for (int i = 0; i < records; ++i) {
    text << (i == 0 ? "" : ",") << R"({"kind":"retry_allowance","schema":1,"name":"measured-)" << i
         << R"(","retries_per_request":)" << this->changes % 5 << R"(,"success_ratio":0.1,"burst":)"
         << 1 + this->changes % 20 << '}';
  }
  text << ']';
  ++this->changes;
  return this->fleet.Processes().WriteFile("change.json", text.str());
}

void FleetMeasures::MeasureChangeTime() {
  for (int i = 0; i < kRepeats; ++i) {
    const double before = this->fleet.Metric(0, "fireflyrun_records_revision");
    const std::string file = this->ChangeFile(1);
    const auto start = steady_clock::now();
    const auto applied = this->fleet.Processes().Command({"apply", file});
    if (applied.status != 0) std::printf("failed: apply: %s\n", applied.errors.c_str());
    const bool seen = this->WaitForEachNode([this, before](int node) {
      return this->fleet.Metric(node, "fireflyrun_records_revision") > before;
    });
    if (seen) this->AddSample("change_in_force_seconds", SecondsSince(start));
    if (!seen) std::printf("failed: a change is not in force everywhere\n");
  }
}

void FleetMeasures::AddCost(const std::string& name, const FleetUsage& before, int count) {
  WaitFor(kCostTail);
  const FleetUsage after = this->fleet.Read();
  const double span = std::chrono::duration<double>(after.at - before.at).count();
  Rates used;
  double highest = 0;
  for (std::size_t i = 0; i < after.nodes.size(); ++i) {
    const double sent = after.nodes[i].sent_bytes - before.nodes[i].sent_bytes;
    used.sent += sent;
    used.processor += after.nodes[i].processor_seconds - before.nodes[i].processor_seconds;
    highest = std::max(highest, sent);
  }
  const double node_events = static_cast<double>(this->fleet.Nodes()) * count;
  const double idle_per_node = this->idle.sent / this->fleet.Nodes();
  this->AddSample(name + "_sent_bytes", (used.sent - this->idle.sent * span) / node_events);
  this->AddSample(name + "_sent_highest_bytes", (highest - idle_per_node * span) / count);
  this->AddSample(name + "_processor_microseconds",
                  1e6 * (used.processor - this->idle.processor * span) / node_events);
}

void FleetMeasures::MeasureChangeCost() {
  const FleetUsage before = this->fleet.Read();
  for (int i = 0; i < kChanges; ++i) {
    const auto applied =
        this->fleet.Processes().Command({"apply", this->ChangeFile(kRecordsPerChange)});
    if (applied.status != 0) std::printf("failed: apply: %s\n", applied.errors.c_str());
  }
  this->AddCost("change", before, kChanges);
}

void FleetMeasures::MeasureEventCost() {
  const FleetUsage before = this->fleet.Read();
  for (int i = 0; i < kTargetEvents; ++i) {
    this->fleet.Announce(i % this->fleet.Nodes(), ++this->slots, "serving");
    WaitFor(milliseconds(50));
  }
  this->AddCost("event", before, kTargetEvents);
}

void FleetMeasures::MeasureTargetStateTime() {
  for (int i = 0; i < kRepeats; ++i) {
    const int target = i % this->fleet.Nodes();
    for (const char* state : {"serving", "leaving"}) {
      ++this->slots;
      const auto start = steady_clock::now();
      this->fleet.Announce(target, this->slots, state);
      const bool seen = this->WaitForEachNode([this, target, state](int node) {
        return this->fleet.ListsTarget(node, target, this->slots, state);
      });
      if (seen) this->AddSample("target_state_known_seconds", SecondsSince(start));
      if (!seen) std::printf("failed: a target's state is not known everywhere\n");
    }
  }
}

void FleetMeasures::MeasureNewNode() {
  const int node = this->fleet.Nodes() - 1;
  auto& processes = this->fleet.Processes();
  processes.NodeProcess(this->fleet.Name(node)).Kill();
  const auto start = steady_clock::now();
  processes.StartNode(this->fleet.Name(node));
  if (!WaitUntil(kWaitTimeout, [this, node] { return this->fleet.HasCompleteView(node); })) {
    std::printf("failed: a new node's view is incomplete\n");
    return;
  }
  this->AddSample("new_node_whole_seconds", SecondsSince(start));
  this->AddSample("new_node_received_bytes",
                  this->fleet.Metric(node, "fireflyrun_control_received_bytes_total"));
  WaitFor(kSettleTime);
}

void FleetMeasures::MeasureBurst() {
  const int count = std::max(1, this->fleet.Nodes() / kNodesPerRestart);
  auto& processes = this->fleet.Processes();
  std::vector<int> restarted;
  restarted.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) restarted.push_back(i * kNodesPerRestart % this->fleet.Nodes());
  FleetUsage before = this->fleet.Read();
  for (const int node : restarted) processes.NodeProcess(this->fleet.Name(node)).Kill();
  const auto start = steady_clock::now();
  for (const int node : restarted) processes.StartNode(this->fleet.Name(node));
  ++this->slots;
  for (const int node : restarted) {
    before.nodes[static_cast<std::size_t>(node)] = {};
    WaitUntil(kWaitTimeout,
              [this, node] { return this->fleet.Announce(node, this->slots, "serving"); });
  }
  const bool complete = this->WaitForEachNode([this, &restarted](int node) {
    return this->fleet.HasCompleteView(node) &&
           std::all_of(restarted.begin(), restarted.end(), [this, node](int target) {
             return this->fleet.ListsTarget(node, target, this->slots, "serving");
           });
  });
  if (!complete) std::printf("failed: views incomplete after a burst of restarts\n");
  if (complete) this->AddSample("burst_whole_seconds", SecondsSince(start));
  const FleetUsage after = this->fleet.Read();
  const double span = std::chrono::duration<double>(after.at - before.at).count();
  double sent = 0;
  for (std::size_t i = 0; i < after.nodes.size(); ++i) {
    sent += after.nodes[i].sent_bytes - before.nodes[i].sent_bytes;
  }
  this->AddSample("burst_sent_bytes", (sent - this->idle.sent * span) / this->fleet.Nodes());
}

/// `shapes` is `ZONESxNODES,...`, with NODES in each zone.
int Run(const std::string& shapes, const std::string& json_path) {
  CapacitySamples samples;
  bool all_measured = true;
  std::istringstream list(shapes);
  for (std::string shape; std::getline(list, shape, ',');) {
    int zones = 0;
    int zone_nodes = 0;
    if (std::sscanf(shape.c_str(), "%dx%d", &zones, &zone_nodes) != 2) return 2;
    std::printf("fleet zones=%d zone_nodes=%d\n", zones, zone_nodes);
    FleetMeasures measures(zones, zone_nodes, samples);
    all_measured = measures.Run() && all_measured;
    samples.WriteJson(json_path);
  }
  samples.PrintFits(kNodesPerZone);
  return all_measured ? 0 : 1;
}

}  // namespace
}  // namespace fireflyrun::bench

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: capacity_bench ZONESxNODES,... FILE.json\n");
    return 2;
  }
  return fireflyrun::bench::Run(argv[1], argv[2]);
}
