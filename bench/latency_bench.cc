#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <memory>
#include <string>

#include "bench/load.h"
#include "bench/measure.h"
#include "tests/integration/fleet.h"

namespace {

using fireflyrun::bench::Bound;
using fireflyrun::bench::Load;
using fireflyrun::bench::LoadPlan;
using fireflyrun::bench::Note;
using fireflyrun::integration::Fleet;
using fireflyrun::integration::HostLayout;
using nlohmann::json;

constexpr double kUsualRate = 126;
constexpr double kTenfoldRate = 1260;
constexpr double kUsualSeconds = 20;
constexpr double kTenfoldSeconds = 10;
constexpr double kMostAddedMs = 0.51;
constexpr int kSlots = 90;
constexpr double kMicroseconds = 1e6;

std::unique_ptr<Fleet> MakeFleet() {
  const std::vector<std::string> flags{"--log-level", "warning"};
  HostLayout caller{.node = "caller", .region = "piedmont", .zone = "pied-a"};
  caller.node_flags = flags;
  HostLayout target{.node = "target", .region = "piedmont", .zone = "pied-a"};
  target.service = "deep";
  target.slots = kSlots;
  target.service_time_ms = 0;
  target.node_flags = flags;
  auto fleet = std::make_unique<Fleet>(std::vector<HostLayout>{caller, target},
                                       fireflyrun::integration::ChainRecords());
  if (!fleet->WaitReady()) throw std::runtime_error("the fleet does not get ready");
  return fleet;
}

LoadPlan PlanFor(const std::string& address, const std::string& path, double rate, double seconds) {
  LoadPlan plan;
  plan.to = {address};
  plan.path = path;
  plan.rate = rate;
  plan.seconds = seconds;
  plan.expected_children = 0;
  return plan;
}

double Percentile(const json& summary, const char* which) {
  return summary.at("latency_ms").at(which).get<double>();
}

/// Processor time that a node has used so far, from /proc/PID/stat (fields 14 and 15).
double CpuSeconds(Fleet& fleet, const std::string& node) {
  std::ifstream file("/proc/" + std::to_string(fleet.NodeProcess(node).Id()) + "/stat");
  std::string skipped;
  constexpr int kFieldsBeforeUserTime = 13;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) file >> skipped;
  double user_ticks = 0;
  double system_ticks = 0;
  file >> user_ticks >> system_ticks;
  return (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Direct and routed calls run side by side in the same seconds, so both meet the same noise.
bool Measure(Fleet& fleet, const std::string& name, double rate, double seconds) {
  const std::string direct_address =
      fleet.TargetUrl("target").substr(std::string("http://").size());
  const double cpu_before = CpuSeconds(fleet, "caller") + CpuSeconds(fleet, "target");
  Load direct_load(PlanFor(direct_address, "/x", rate, seconds));
  Load routed_load(PlanFor(fleet.Address("caller") + ":7400", "/deep/x", rate, seconds));
  const json direct = direct_load.Wait();
  const json routed = routed_load.Wait();
  const double cpu = CpuSeconds(fleet, "caller") + CpuSeconds(fleet, "target") - cpu_before;
  Note(name + ".cpu_of_both_nodes", kMicroseconds * cpu / routed.at("sent").get<double>(),
       "us/call");
  for (const char* which : {"p50", "p99"}) {
    Note(name + ".direct_" + which, Percentile(direct, which), "ms");
    Note(name + ".routed_" + which, Percentile(routed, which), "ms");
  }
  Note(name + ".routed_whole", routed.at("whole").get<double>(),
       "of " + std::to_string(routed.at("sent").get<int>()));
  Note(name + ".added_p50", Percentile(routed, "p50") - Percentile(direct, "p50"), "ms");
  return fireflyrun::bench::Report(name + ".added_p99",
                                   Percentile(routed, "p99") - Percentile(direct, "p99"), "ms",
                                   Bound::kAtMost, kMostAddedMs);
}

}  // namespace

/// Time added by two nodes against a direct call. The exit status is 0 only if the bounds hold.
int main() {
  try {
    const auto fleet = MakeFleet();
    bool hold = Measure(*fleet, "latency_126_per_s", kUsualRate, kUsualSeconds);
    hold &= Measure(*fleet, "latency_1260_per_s", kTenfoldRate, kTenfoldSeconds);
    return hold ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "latency_bench: %s\n", error.what());
    return EXIT_FAILURE;
  }
}
