#include "metrics/registry.h"

#include <algorithm>
#include <utility>

#include "metrics/text_format.h"

namespace fireflyrun::metrics {

bool Registry::AddGauge(std::string_view name, std::string_view help, ValueHook value,
                        Labels labels) {
  return this->Add("gauge", name, help, {std::move(labels), std::move(value)});
}

bool Registry::AddCounter(std::string_view name, std::string_view help, ValueHook value,
                          Labels labels) {
  return this->Add("counter", name, help, {std::move(labels), std::move(value)});
}

void Registry::AddText(TextHook hook) { this->text_hooks.push_back(std::move(hook)); }

bool Registry::Add(std::string_view type, std::string_view name, std::string_view help,
                   Sample sample) {
  if (!IsMetricName(name)) return false;
  for (const Label& label : sample.labels) {
    if (!IsLabelName(label.name)) return false;
  }
  auto metric = std::find_if(this->metrics.begin(), this->metrics.end(),
                             [name](const Metric& known) { return known.name == name; });
  if (metric == this->metrics.end()) {
    this->metrics.push_back({std::string(name), std::string(help), type, {}});
    metric = std::prev(this->metrics.end());
  }
  if (metric->type != type) return false;
  for (const Sample& known : metric->samples) {
    if (known.labels == sample.labels) return false;
  }
  metric->samples.push_back(std::move(sample));
  return true;
}

std::string Registry::Render() const {
  std::string out;
  for (const Metric& metric : this->metrics) {
    AppendMetadata(metric.name, metric.help, metric.type, &out);
    for (const Sample& sample : metric.samples) {
      AppendSample(metric.name, sample.labels, sample.value(), &out);
    }
  }
  for (const TextHook& text : this->text_hooks) text(&out);
  return out;
}

}  // namespace fireflyrun::metrics
