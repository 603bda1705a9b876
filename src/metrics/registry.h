#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "metrics/label.h"

namespace fireflyrun::metrics {

/// Collects the metrics of all parts of a node and writes them in the Prometheus text format. The
/// hooks are called by Render() only and must stay callable as long as it may be called.
class Registry {
 public:
  using ValueHook = std::function<double()>;
  using TextHook = std::function<void(std::string* out)>;

  /// Adds a sample. Samples of one name share its type and the help given first; their labels must
  /// differ. False, and nothing is added, for a malformed name or label name, a repeated sample, or
  /// a name in use with the other type.
  bool AddGauge(std::string_view name, std::string_view help, ValueHook value, Labels labels = {});

  /// Likewise for a value that only rises; its name should end in `_total`.
  bool AddCounter(std::string_view name, std::string_view help, ValueHook value,
                  Labels labels = {});

  /// Adds a hook that appends whole metrics in the text format, such as CallMetrics::Render().
  void AddText(TextHook hook);

  std::string Render() const;

 private:
  struct Sample {
    Labels labels;
    ValueHook value;
  };

  struct Metric {
    std::string name;
    std::string help;
    std::string_view type;
    std::vector<Sample> samples;
  };

  bool Add(std::string_view type, std::string_view name, std::string_view help, Sample sample);

  std::vector<Metric> metrics;
  std::vector<TextHook> texts;
};

}  // namespace fireflyrun::metrics
