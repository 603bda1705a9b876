#include "bench/steady_bench.h"

#include <algorithm>
#include <thread>

#include "bench/load.h"
#include "bench/measure.h"

namespace fireflyrun::bench {
namespace {

using nlohmann::json;

constexpr int kCallerRetries = 3;
constexpr double kSaturationSeconds = 10;
constexpr double kOverloadSeconds = 12;
constexpr std::size_t kSettleSeconds = 3;
constexpr double kMinGoodputShare = 0.9;
constexpr double kMaxWastedShare = 0.1;
constexpr double kFailingCallsPerSecond = 20;
constexpr double kFailingSeconds = 5;
constexpr double kShedSeconds = 8;
constexpr std::chrono::seconds kShedSettleTime{1};

struct GoodputResult {
  double goodput = 0;
  double wasted_share = 0;
  double runs_per_root = 0;
};

LoadPlan PlanFor(const ChainFleet& fleet, double load, double seconds, int retries) {
  LoadPlan plan;
  plan.to = fleet.CallerAddresses();
  plan.rate = load * kChainCallsPerSecond;
  plan.seconds = seconds;
  plan.retries = retries;
  return plan;
}

GoodputResult RunGoodput(const ChainFleet& fleet, double load, double seconds, int retries) {
  const double runs_before = fleet.DeepRuns();
  const json summary = RunLoad(PlanFor(fleet, load, seconds, retries));
  const double runs = fleet.DeepRuns() - runs_before;
  GoodputResult result;
  result.goodput = MeanGoodput(summary, kSettleSeconds, static_cast<std::size_t>(seconds));
  const auto whole = summary.at("whole").get<double>();
  result.wasted_share = runs > 0 ? 1 - std::min(1.0, whole / runs) : 0;
  result.runs_per_root = runs / summary.at("sent").get<double>();
  return result;
}

int MaxRunsWhileFailing(const ChainFleet& fleet) {
  const auto before = fleet.DeepRunCounts();
  fleet.FailDeep(true);
  auto plan = PlanFor(fleet, kFailingCallsPerSecond / kChainCallsPerSecond, kFailingSeconds, 0);
  RunLoad(plan);
  fleet.FailDeep(false);
  return fleet.MaxDeepRunsPerRoot(before);
}

std::size_t RefusedOrFailed(const json& summary, const std::string& label) {
  const auto& tally = summary.at("by_label").at(label);
  std::size_t refused = 0;
  for (const auto& [outcome, count] : tally.at("refused").items()) {
    refused += count.get<std::size_t>();
  }
  for (const auto& [kind, count] : tally.at("failed").items()) refused += count.get<std::size_t>();
  return refused;
}

/// Runs a load of all classes. A separate load of one second precedes it, outside the summary.
json RunShedding(const ChainFleet& fleet) {
  auto plan = PlanFor(fleet, 3, kShedSeconds, 0);
  plan.class_mix =
      "first:1:GET:/calendar/notices:0:2,middle:2:GET:/calendar/days:0:2,"
      "last:2:GET:/calendar/status:0:2";
  auto settle = plan;
  settle.seconds = 1;
  Load first(settle);
  std::this_thread::sleep_for(kShedSettleTime);
  json summary = RunLoad(plan);
  first.Wait();
  return summary;
}

void PrintShedding(const std::string& variant, const json& summary) {
  for (const char* label : {"first", "middle", "last"}) {
    const auto& tally = summary.at("by_label").at(label);
    PrintFigure("shed." + variant + "." + label + "_class_whole", tally.at("whole").get<double>(),
                "of " + std::to_string(tally.at("sent").get<int>()));
  }
}

double ShedViolations(const json& summary) {
  const bool last_admitted = summary.at("by_label").at("last").at("whole").get<int>() > 0;
  return last_admitted ? static_cast<double>(RefusedOrFailed(summary, "first")) : 0;
}

}  // namespace

bool MeasureGoodput(const Variants& variants) {
  const auto saturated = RunGoodput(*variants.on, 1, kSaturationSeconds, 0);
  const auto saturated_baseline = RunGoodput(*variants.baseline, 1, kSaturationSeconds, 0);
  const auto on = RunGoodput(*variants.on, 2, kOverloadSeconds, kCallerRetries);
  const auto baseline = RunGoodput(*variants.baseline, 2, kOverloadSeconds, kCallerRetries);
  const double saturation = std::max(saturated.goodput, saturated_baseline.goodput);
  PrintFigure("goodput.at_saturation", saturated.goodput, "calls/s");
  PrintFigure("goodput.at_saturation.baseline", saturated_baseline.goodput, "calls/s");
  PrintFigure("goodput.at_twice", on.goodput, "calls/s");
  PrintFigure("goodput.at_twice.baseline", baseline.goodput, "calls/s");
  bool holds = Report("goodput_share_at_twice", on.goodput / saturation, "of saturation",
                      Bound::kAtLeast, kMinGoodputShare);
  PrintFigure("goodput_share_at_twice.baseline", baseline.goodput / saturation, "of saturation");
  holds &= Report("wasted_work_at_twice", on.wasted_share, "of deep runs", Bound::kAtMost,
                  kMaxWastedShare);
  PrintFigure("wasted_work_at_twice.baseline", baseline.wasted_share, "of deep runs");
  PrintFigure("mean_deep_runs_per_request_at_twice", on.runs_per_root, "runs");
  PrintFigure("mean_deep_runs_per_request_at_twice.baseline", baseline.runs_per_root, "runs");
  return holds;
}

bool MeasureRunsPerRoot(const Variants& variants) {
  const int max_runs = MaxRunsWhileFailing(*variants.on);
  const int baseline = MaxRunsWhileFailing(*variants.baseline);
  const bool holds =
      Report("most_deep_runs_per_root", max_runs, "runs", Bound::kAtMost, 1 + kRetriesPerRequest);
  PrintFigure("most_deep_runs_per_root.baseline", baseline, "runs");
  return holds;
}

bool MeasureShedOrder(const Variants& variants) {
  const json on = RunShedding(*variants.on);
  const json baseline = RunShedding(*variants.baseline);
  PrintShedding("on", on);
  PrintShedding("baseline", baseline);
  const bool holds = Report("first_class_refused_while_last_admitted", ShedViolations(on), "calls",
                            Bound::kAtMost, 0);
  PrintFigure("first_class_refused_while_last_admitted.baseline", ShedViolations(baseline),
              "calls");
  return holds;
}

}  // namespace fireflyrun::bench
