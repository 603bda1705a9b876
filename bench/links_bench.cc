#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>

#include "bench/load.h"
#include "bench/measure.h"
#include "tests/integration/fleet.h"

namespace {

using fireflyrun::bench::LoadPlan;
using fireflyrun::integration::Fleet;
using fireflyrun::integration::HostLayout;
using nlohmann::json;

constexpr double kLoadShare = 0.8;  // Of the capacity of the callers' region.
constexpr double kMeasureSeconds = 15;
/// Newly started targets ramp up; until that ends, their region can't serve the load.
constexpr double kWarmUpSeconds = 8;
constexpr int kSlots = 10;
constexpr int kServiceMs = 50;
constexpr double kRegionCallsPerSecond = 400;

HostLayout FilingsHost(const std::string& region, const std::string& zone) {
  HostLayout host;
  host.node = zone;
  host.region = region;
  host.zone = zone;
  host.service = "filings";
  host.slots = kSlots;
  host.service_time_ms = kServiceMs;
  host.node_flags = {"--log-level", "warning"};
  return host;
}

/// The class of `filings` may leave its region, so only the policy keeps calls inside it.
std::unique_ptr<Fleet> MakeFleet() {
  std::string records = fireflyrun::integration::ChainRecords();
  const std::string not_idempotent = R"("idempotent": false)";
  records.replace(records.find(not_idempotent), not_idempotent.size(), R"("idempotent": true)");
  auto fleet = std::make_unique<Fleet>(
      std::vector<HostLayout>{FilingsHost("erie", "erie-a"), FilingsHost("erie", "erie-b"),
                              FilingsHost("michigan", "michigan-a"),
                              FilingsHost("michigan", "michigan-b")},
      records);
  if (!fleet->WaitReady()) throw std::runtime_error("the fleet did not become ready");
  return fleet;
}

double RunsOf(const Fleet& fleet, const std::string& node) {
  return json::parse(fleet.RunCounts(node)).at("runs").get<double>();
}

double OtherRegionRuns(const Fleet& fleet) {
  return RunsOf(fleet, "michigan-a") + RunsOf(fleet, "michigan-b");
}

bool Measure(const Fleet& fleet) {
  LoadPlan plan;
  plan.to = {fleet.Address("erie-a") + ":7400", fleet.Address("erie-b") + ":7400"};
  plan.path = "/filings/x";
  plan.expected_children = 0;
  plan.rate = kLoadShare * kRegionCallsPerSecond;
  plan.seconds = kWarmUpSeconds;
  fireflyrun::bench::RunLoad(plan);
  const double before = OtherRegionRuns(fleet);
  plan.seconds = kMeasureSeconds;
  const json summary = fireflyrun::bench::RunLoad(plan);
  fireflyrun::bench::PrintFigure("links.whole", summary.at("whole").get<double>(),
                                 "of " + std::to_string(summary.at("sent").get<int>()));
  const double crossed = OtherRegionRuns(fleet) - before;
  return fireflyrun::bench::Report("calls_crossing_regions_at_own_capacity", crossed, "calls",
                                   fireflyrun::bench::Bound::kAtMost, 0);
}

}  // namespace

/// Counts calls that cross the inter-region link under a load that their own region can serve. The
/// exit status is 0 only if there are none.
int main() {
  try {
    const auto fleet = MakeFleet();
    return Measure(*fleet) ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "links_bench: %s\n", error.what());
    return EXIT_FAILURE;
  }
}
