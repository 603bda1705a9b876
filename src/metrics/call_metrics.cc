#include "metrics/call_metrics.h"

#include <algorithm>
#include <boost/histogram/algorithm/sum.hpp>
#include <cstdio>

#include "metrics/text_format.h"

namespace fireflyrun::metrics {
namespace {

constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 1e2;
constexpr unsigned kBinsPerDecade = 5;
constexpr unsigned kDecades = 7;
constexpr unsigned kBins = kBinsPerDecade * kDecades;
constexpr std::string_view kRefusedName = "fireflyrun_calls_refused_total";
constexpr int kBoundDigits = 4;

template <typename Enum>
std::size_t Index(Enum value) {
  return static_cast<std::size_t>(value);
}

/// Formats a bin's upper bound, rounded so that the label hides the logarithm's rounding error.
std::string FormatBound(double seconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%.*g", kBoundDigits, seconds);
  return text;
}

std::string_view HelpOf(CallCounter counter) {
  switch (counter) {
    case CallCounter::kAdmitted:
      return "Calls admitted to the target.";
    case CallCounter::kRetries:
      return "Retries sent.";
    case CallCounter::kMoves:
      return "Calls sent to another target because the first was leaving.";
    case CallCounter::kFailures:
      return "Calls that ended without a complete answer.";
  }
  return "";
}

std::string_view HelpOf(CallTiming timing) {
  switch (timing) {
    case CallTiming::kLatency:
      return "Seconds from the receipt of a call to its answer.";
    case CallTiming::kQueue:
      return "Seconds in the admission queue.";
    case CallTiming::kService:
      return "Seconds at the target.";
  }
  return "";
}

}  // namespace

// 37 bins of 8 bytes each, including underflow and overflow: 296 bytes of counts.
CallMetrics::Timing::Timing() : histogram(Axis(kBins, kLowestSeconds, kHighestSeconds)) {}

CallMetrics::CallMetrics(std::vector<std::string> refusal_reasons)
    : reasons(std::move(refusal_reasons)) {
  if (this->reasons.empty()) this->reasons.emplace_back(kOther);
}

SeriesId CallMetrics::Resolve(std::string_view call_class, std::string_view tenant) {
  const std::string known_class(FoldName(call_class, kMaxClasses, &this->classes));
  const std::string known_tenant(FoldName(tenant, kMaxTenants, &this->tenants));
  const auto found = this->pairs.find({known_class, known_tenant});
  if (found != this->pairs.end()) return found->second;
  if (this->pairs.size() < kMaxPairs) return this->Add({known_class, known_tenant});
  const auto folded = this->pairs.find({known_class, std::string(kOther)});
  if (folded != this->pairs.end()) return folded->second;
  return this->Add({known_class, std::string(kOther)});
}

std::string_view CallMetrics::FoldName(std::string_view name, std::size_t limit, Names* known) {
  if (std::find(known->begin(), known->end(), name) != known->end()) return name;
  if (name == kOther || known->size() == limit) return kOther;
  known->emplace_back(name);
  return name;
}

SeriesId CallMetrics::Add(std::pair<std::string, std::string> pair) {
  const SeriesId id{static_cast<std::uint32_t>(this->all_series.size())};
  Series series;
  series.call_class = pair.first;
  series.tenant = pair.second;
  series.class_index = this->ClassIndex(pair.first);
  series.counters.resize(kCallCounterNames.Entries().size());
  series.refusals.resize(this->reasons.size());
  this->all_series.push_back(std::move(series));
  this->pairs.emplace(std::move(pair), id);
  return id;
}

std::size_t CallMetrics::ClassIndex(const std::string& call_class) {
  const auto found = std::find_if(
      this->class_timings.begin(), this->class_timings.end(),
      [&call_class](const ClassTimings& measured) { return measured.call_class == call_class; });
  if (found != this->class_timings.end()) {
    return static_cast<std::size_t>(found - this->class_timings.begin());
  }
  this->class_timings.push_back({call_class, {}});
  this->class_timings.back().timings.resize(kCallTimingNames.Entries().size());
  return this->class_timings.size() - 1;
}

void CallMetrics::Count(SeriesId series, CallCounter counter) {
  ++this->all_series[series.index].counters[Index(counter)];
}

void CallMetrics::CountRefusal(SeriesId series, std::size_t reason) {
  ++this->all_series[series.index].refusals[std::min(reason, this->reasons.size() - 1)];
}

void CallMetrics::Observe(SeriesId series, CallTiming timing, Duration duration) {
  const double seconds = std::max(std::chrono::duration<double>(duration).count(), 0.0);
  const std::size_t class_index = this->all_series[series.index].class_index;
  Timing& timed = this->class_timings[class_index].timings[Index(timing)];
  timed.histogram(seconds);
  timed.sum_seconds += seconds;
}

void CallMetrics::Render(std::string* out) const {
  this->RenderCounters(out);
  this->RenderRefusals(out);
  this->RenderTimings(out);
}

void CallMetrics::RenderCounters(std::string* out) const {
  for (const auto& [counter, name] : kCallCounterNames.Entries()) {
    AppendMetadata(name, HelpOf(counter), "counter", out);
    for (const Series& series : this->all_series) {
      const std::uint64_t count = series.counters[Index(counter)];
      if (count == 0) continue;
      AppendSample(name, {{"class", series.call_class}, {"tenant", series.tenant}}, count, out);
    }
  }
}

void CallMetrics::RenderRefusals(std::string* out) const {
  AppendMetadata(kRefusedName, "Calls refused, by reason.", "counter", out);
  for (const Series& series : this->all_series) {
    Labels labels = {{"class", series.call_class}, {"tenant", series.tenant}, {"reason", ""}};
    for (std::size_t reason = 0; reason < this->reasons.size(); ++reason) {
      if (series.refusals[reason] == 0) continue;
      labels.back().value = this->reasons[reason];
      AppendSample(kRefusedName, labels, series.refusals[reason], out);
    }
  }
}

void CallMetrics::RenderTimings(std::string* out) const {
  for (const auto& [timing, name] : kCallTimingNames.Entries()) {
    AppendMetadata(name, HelpOf(timing), "histogram", out);
    for (const ClassTimings& measured : this->class_timings) RenderTiming(measured, timing, out);
  }
}

void CallMetrics::RenderTiming(const ClassTimings& measured, CallTiming timing, std::string* out) {
  const Timing& timed = measured.timings[Index(timing)];
  const auto observations =
      boost::histogram::algorithm::sum(timed.histogram, boost::histogram::coverage::all);
  if (observations == 0) return;
  const std::string name(kCallTimingNames.NameOf(timing));
  const std::string bucket_name = name + "_bucket";
  const Axis& axis = timed.histogram.axis();
  Labels labels = {{"class", measured.call_class}, {"le", ""}};
  std::uint64_t cumulative = timed.histogram.at(-1);
  for (int bin = 0; bin < axis.size(); ++bin) {
    cumulative += timed.histogram.at(bin);
    labels.back().value = FormatBound(axis.value(bin + 1));
    AppendSample(bucket_name, labels, cumulative, out);
  }
  cumulative += timed.histogram.at(axis.size());
  labels.back().value = "+Inf";
  AppendSample(bucket_name, labels, cumulative, out);
  labels.pop_back();
  AppendSample(name + "_sum", labels, timed.sum_seconds, out);
  AppendSample(name + "_count", labels, cumulative, out);
}

}  // namespace fireflyrun::metrics
