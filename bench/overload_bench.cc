#include <curl/curl.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>

#include "bench/load.h"
#include "bench/recovery_bench.h"
#include "bench/steady_bench.h"

namespace {

using fireflyrun::bench::ChainFleet;
using fireflyrun::bench::Variants;

constexpr int kTriggerSeconds = 20;
constexpr double kWarmUpLoadShare = 0.8;
constexpr double kWarmUpSeconds = 8;

void WarmUp(const ChainFleet& fleet) {
  fireflyrun::bench::LoadPlan plan;
  plan.to = fleet.CallerAddresses();
  plan.rate = kWarmUpLoadShare * fireflyrun::bench::kChainCallsPerSecond;
  plan.seconds = kWarmUpSeconds;
  fireflyrun::bench::RunLoad(plan);
}

bool IsSelected(const char* only, const char* part) {
  return only == nullptr || std::strcmp(only, part) == 0;
}

int Run(int trigger_seconds, const char* only) {
  const Variants variants{std::make_unique<ChainFleet>(false), std::make_unique<ChainFleet>(true)};
  WarmUp(*variants.on);
  WarmUp(*variants.baseline);
  bool hold = true;
  if (IsSelected(only, "goodput")) hold &= fireflyrun::bench::MeasureGoodput(variants);
  if (IsSelected(only, "shed")) hold &= fireflyrun::bench::MeasureShedOrder(variants);
  if (IsSelected(only, "runs")) hold &= fireflyrun::bench::MeasureRunsPerRoot(variants);
  if (IsSelected(only, "recovery")) {
    hold &= fireflyrun::bench::MeasureRecovery(variants, trigger_seconds);
  }
  for (const char* trigger : {"slow_deep", "demand_x4", "both"}) {
    if (only == nullptr || !IsSelected(only, trigger)) continue;
    hold &= fireflyrun::bench::MeasureRecovery(variants, trigger_seconds, trigger);
  }
  return hold ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

/// Usage: overload_bench [TRIGGER_SECONDS [goodput|shed|runs|recovery|slow_deep|demand_x4|both]].
/// The exit status is 0 only if all bounds hold.
int main(int argc, char** argv) {
  try {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return Run(argc > 1 ? std::atoi(argv[1]) : kTriggerSeconds, argc > 2 ? argv[2] : nullptr);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "overload_bench: %s\n", error.what());
    return EXIT_FAILURE;
  }
}
