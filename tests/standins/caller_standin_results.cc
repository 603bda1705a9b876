#include "tests/standins/caller_standin_results.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace fireflyrun::standins {
namespace {

constexpr std::size_t kMaxWrongReasons = 5;

/// The nearest-rank percentile of a sorted list.
double Percentile(const std::vector<double>& sorted, double percent) {
  if (sorted.empty()) return 0;
  const double rank = std::ceil(percent / 100 * static_cast<double>(sorted.size()));
  return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

void Add(const Tally& part, Tally* total) {
  total->sent += part.sent;
  total->attempts += part.attempts;
  total->whole += part.whole;
  total->wrong += part.wrong;
  for (const auto& [name, count] : part.refused) total->refused[name] += count;
  for (const auto& [name, count] : part.failed) total->failed[name] += count;
  total->latencies_ms.insert(total->latencies_ms.end(), part.latencies_ms.begin(),
                             part.latencies_ms.end());
  auto& series = total->goodput_per_second;
  series.resize(std::max(series.size(), part.goodput_per_second.size()));
  for (std::size_t i = 0; i < part.goodput_per_second.size(); ++i) {
    series[i] += part.goodput_per_second[i];
  }
}

nlohmann::json TallyJson(const Tally& tally) {
  std::vector<double> sorted = tally.latencies_ms;
  std::sort(sorted.begin(), sorted.end());
  return {{"sent", tally.sent},
          {"attempts", tally.attempts},
          {"whole", tally.whole},
          {"wrong", tally.wrong},
          {"refused", tally.refused},
          {"failed", tally.failed},
          {"latency_ms",
           {{"p50", Percentile(sorted, 50)},
            {"p90", Percentile(sorted, 90)},
            {"p99", Percentile(sorted, 99)},
            {"max", Percentile(sorted, 100)}}},
          {"goodput_per_second", tally.goodput_per_second}};
}

}  // namespace

void CallerResults::Sent(const std::string& label) { ++this->tallies[label].sent; }

void CallerResults::Attempted(const std::string& label) { ++this->tallies[label].attempts; }

void CallerResults::Whole(const std::string& label, Duration latency, Duration since_start) {
  Tally& tally = this->tallies[label];
  const auto second = static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(since_start).count());
  ++tally.whole;
  tally.latencies_ms.push_back(std::chrono::duration<double, std::milli>(latency).count());
  if (tally.goodput_per_second.size() <= second) tally.goodput_per_second.resize(second + 1);
  ++tally.goodput_per_second[second];
}

void CallerResults::Refused(const std::string& label, const std::string& status_and_outcome) {
  ++this->tallies[label].refused[status_and_outcome];
}

void CallerResults::Failed(const std::string& label, http::ClientErrorKind kind) {
  ++this->tallies[label].failed[std::string(http::kClientErrorKindNames.NameOf(kind))];
}

void CallerResults::Wrong(const std::string& label, const std::string& reason) {
  ++this->tallies[label].wrong;
  if (this->wrong_reasons.size() < kMaxWrongReasons) this->wrong_reasons.push_back(reason);
}

nlohmann::json CallerResults::ToJson() const {
  Tally total;
  for (const auto& [label, tally] : this->tallies) Add(tally, &total);
  nlohmann::json summary = TallyJson(total);
  if (!this->wrong_reasons.empty()) summary["wrong_reasons"] = this->wrong_reasons;
  if (this->tallies.size() > 1) {
    for (const auto& [label, tally] : this->tallies) summary["by_label"][label] = TallyJson(tally);
  }
  return summary;
}

}  // namespace fireflyrun::standins
