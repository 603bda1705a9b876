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
using fireflyrun::bench::PrintFigure;
using fireflyrun::integration::Fleet;
using fireflyrun::integration::HostLayout;
using nlohmann::json;

constexpr double kUsualCallsPerSecond = 126;
constexpr double kTenfoldCallsPerSecond = 1260;
constexpr double kUsualSeconds = 20;
constexpr double kTenfoldSeconds = 10;
constexpr double kMaxAddedP99Ms = 0.51;
constexpr int kSlots = 90;
constexpr double kMicrosecondsPerSecond = 1e6;

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
  if (!fleet->WaitReady()) throw std::runtime_error("the fleet did not become ready");
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

double Percentile(const json& summary, const char* percentile) {
  return summary.at("latency_ms").at(percentile).get<double>();
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

/// Direct and routed calls run side by side in the same seconds, so the same noise affects both.
bool Measure(Fleet& fleet, const std::string& name, double rate, double seconds) {
  const std::string direct_address =
      fleet.TargetUrl("target").substr(std::string("http://").size());
  const double cpu_before = CpuSeconds(fleet, "caller") + CpuSeconds(fleet, "target");
  Load direct_load(PlanFor(direct_address, "/x", rate, seconds));
  Load routed_load(PlanFor(fleet.Address("caller") + ":7400", "/deep/x", rate, seconds));
  const json direct = direct_load.Wait();
  const json routed = routed_load.Wait();
  const double cpu = CpuSeconds(fleet, "caller") + CpuSeconds(fleet, "target") - cpu_before;
  PrintFigure(name + ".cpu_of_both_nodes",
              kMicrosecondsPerSecond * cpu / routed.at("sent").get<double>(), "us/call");
  for (const char* percentile : {"p50", "p99"}) {
    PrintFigure(name + ".direct_" + percentile, Percentile(direct, percentile), "ms");
    PrintFigure(name + ".routed_" + percentile, Percentile(routed, percentile), "ms");
  }
  PrintFigure(name + ".routed_whole", routed.at("whole").get<double>(),
              "of " + std::to_string(routed.at("sent").get<int>()));
  PrintFigure(name + ".added_p50", Percentile(routed, "p50") - Percentile(direct, "p50"), "ms");
  return fireflyrun::bench::Report(name + ".added_p99",
                                   Percentile(routed, "p99") - Percentile(direct, "p99"), "ms",
                                   Bound::kAtMost, kMaxAddedP99Ms);
}

}  // namespace

/// Measures the latency that two nodes add to a direct call. The exit status is 0 only if the
/// bounds hold.
int main() {
  try {
    const auto fleet = MakeFleet();
    bool hold = Measure(*fleet, "latency_126_per_s", kUsualCallsPerSecond, kUsualSeconds);
    hold &= Measure(*fleet, "latency_1260_per_s", kTenfoldCallsPerSecond, kTenfoldSeconds);
    return hold ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "latency_bench: %s\n", error.what());
    return EXIT_FAILURE;
  }
}
