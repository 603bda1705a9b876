#include "node/process_metrics.h"

#include <string>

#include "common/log.h"
#include "common/process_memory.h"
#include "common/timer_service.h"
#include "node/node_metrics.h"
#include "store/observed_store.h"

namespace fireflyrun::node {

void AddProcessMetrics(const TimerService& timers, NodeMetrics* metrics) {
  metrics->AddGauge("process_resident_memory_bytes", "Resident memory size in bytes.",
                    [] { return static_cast<double>(ResidentBytes()); });
  metrics->AddCounter("fireflyrun_late_timers_total",
                      "Timers that fired at least 0.25 s late, as the event loop was held up.",
                      [&timers] { return static_cast<double>(timers.LateTimers()); });
  for (const auto& [urgency, name] : kLogUrgencyNames.Entries()) {
    const auto index = static_cast<std::size_t>(urgency);
    metrics->AddCounter("fireflyrun_log_lines_left_out_total",
                        "Log lines dropped because of the limit per second or a slow reader.",
                        [index] { return static_cast<double>(LogLinesLeftOut()[index]); },
                        {{"urgency", std::string(name)}});
  }
}

void AddStoreMetrics(const store::ObservedStore* store, NodeMetrics* metrics) {
  if (store == nullptr) return;
  metrics->AddCounter("fireflyrun_store_generation_changes_total",
                      "How often the store came back from an older copy.",
                      [store] { return static_cast<double>(store->GenerationChanges()); });
  for (const auto& [call, call_name] : store::kStoreCallNames.Entries()) {
    for (const auto& [result, result_name] : store::kStoreCallResultNames.Entries()) {
      metrics->AddCounter("fireflyrun_store_calls_total",
                          "Calls to the store that ended, by kind and result.",
                          [store, call = call, result = result] {
                            return static_cast<double>(store->Count(call, result));
                          },
                          {{"call", std::string(call_name)}, {"result", std::string(result_name)}});
    }
  }
}

}  // namespace fireflyrun::node
