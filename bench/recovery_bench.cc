#include "bench/recovery_bench.h"

#include <cstdio>
#include <memory>
#include <thread>

#include "bench/load.h"
#include "bench/measure.h"

namespace fireflyrun::bench {
namespace {

using nlohmann::json;

constexpr int kCallerRetries = 3;
constexpr double kUsualLoadShare = 0.8;  // Of kChainCallsPerSecond.
constexpr double kAddedLoadShare = 3 * kUsualLoadShare;
constexpr double kSlowFactor = 10;
constexpr int kBeforeSeconds = 8;
constexpr int kAfterSeconds = 12;
constexpr int kSettleBeforeSeconds = 2;
constexpr double kRecoveredShare = 0.95;
constexpr double kMaxRecoverySeconds = 5;
constexpr std::size_t kSettleAfterSeconds = 5;

struct Trigger {
  std::string name;
  bool slow = false;
  bool demand = false;
};

struct Recovery {
  double before = 0;   ///< Whole answers per second.
  double during = 0;   ///< Whole answers per second of the usual load alone.
  double after = 0;    ///< Whole answers per second, from 5 s after the trigger's end.
  double seconds = 0;  ///< From the end of the trigger until recovery.
};

LoadPlan PlanFor(const ChainFleet& fleet, double load, double seconds) {
  LoadPlan plan;
  plan.to = fleet.CallerAddresses();
  plan.rate = load * kChainCallsPerSecond;
  plan.seconds = seconds;
  plan.retries = kCallerRetries;
  return plan;
}

/// Whole seconds from the trigger's end to the start of the first two seconds whose mean goodput
/// has recovered; kAfterSeconds if there are none.
double SecondsToRecover(const json& summary, double before, int trigger_end) {
  for (int second = 0; second + 2 <= kAfterSeconds; ++second) {
    const auto from = static_cast<std::size_t>(trigger_end) + static_cast<std::size_t>(second);
    if (MeanGoodput(summary, from, from + 2) >= kRecoveredShare * before) return second;
  }
  return kAfterSeconds;
}

void PrintSeries(const std::string& name, const json& summary) {
  std::printf("  %s.goodput_per_second: %s\n", name.c_str(),
              summary.at("goodput_per_second").dump().c_str());
}

Recovery RunTrigger(const ChainFleet& fleet, const Trigger& trigger, int trigger_seconds,
                    const std::string& name) {
  const int end = kBeforeSeconds + trigger_seconds;
  Load usual(PlanFor(fleet, kUsualLoadShare, end + kAfterSeconds));
  std::this_thread::sleep_for(std::chrono::seconds(kBeforeSeconds));
  std::unique_ptr<Load> added;
  if (trigger.slow) fleet.SlowDeep(kSlowFactor);
  if (trigger.demand) {
    added = std::make_unique<Load>(PlanFor(fleet, kAddedLoadShare, trigger_seconds));
  }
  std::this_thread::sleep_for(std::chrono::seconds(trigger_seconds));
  if (trigger.slow) fleet.SlowDeep(1);
  const json summary = usual.Wait();
  if (added) added->Wait();
  PrintSeries(name, summary);
  Recovery result;
  result.before = MeanGoodput(summary, kSettleBeforeSeconds, kBeforeSeconds);
  result.during = MeanGoodput(summary, kBeforeSeconds, static_cast<std::size_t>(end));
  const auto ended = static_cast<std::size_t>(end);
  result.after = MeanGoodput(summary, ended + kSettleAfterSeconds, ended + kAfterSeconds);
  result.seconds = SecondsToRecover(summary, result.before, end);
  return result;
}

}  // namespace

bool MeasureRecovery(const Variants& variants, int trigger_seconds, const std::string& only) {
  bool holds = true;
  for (const Trigger& trigger : {Trigger{"slow_deep", true, false},
                                 Trigger{"demand_x4", false, true}, Trigger{"both", true, true}}) {
    if (!only.empty() && only != trigger.name) continue;
    const std::string name = "recovery_after_" + trigger.name;
    const auto on = RunTrigger(*variants.on, trigger, trigger_seconds, name);
    const auto baseline =
        RunTrigger(*variants.baseline, trigger, trigger_seconds, name + ".baseline");
    PrintFigure(name + ".goodput_before", on.before, "calls/s");
    PrintFigure(name + ".goodput_during", on.during, "calls/s");
    PrintFigure(name + ".goodput_from_5_s_after", on.after, "calls/s");
    PrintFigure(name + ".baseline.goodput_before", baseline.before, "calls/s");
    PrintFigure(name + ".baseline.goodput_during", baseline.during, "calls/s");
    PrintFigure(name + ".baseline.goodput_from_5_s_after", baseline.after, "calls/s");
    holds &= Report(name, on.seconds, "s", Bound::kAtMost, kMaxRecoverySeconds);
    const bool never = baseline.seconds >= kAfterSeconds;
    PrintFigure(name + ".baseline" + (never ? " (not within the time watched)" : ""),
                baseline.seconds, "s");
  }
  return holds;
}

}  // namespace fireflyrun::bench
