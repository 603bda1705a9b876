#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "metrics/label.h"

namespace fireflyrun::metrics {

/// Collects the metrics of all components of a node and renders them in the Prometheus text format.
/// Only Render() calls the hooks; they must stay callable as long as Render() may be called.
class Registry {
 public:
  using ValueHook = std::function<double()>;
  using TextHook = std::function<void(std::string* out)>;

  /// Adds a sample. Samples of one name share the type and the help text given first; their labels
  /// must differ. Returns false and adds nothing for a malformed metric or label name, a duplicate
  /// sample, or a name already in use with another type.
  bool AddGauge(std::string_view name, std::string_view help, ValueHook value, Labels labels = {});

  /// Like AddGauge(), for a value that never decreases; its name should end in `_total`.
  bool AddCounter(std::string_view name, std::string_view help, ValueHook value,
                  Labels labels = {});

  /// Adds a hook that appends complete metrics in the text format, such as CallMetrics::Render().
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
  std::vector<TextHook> text_hooks;
};

}  // namespace fireflyrun::metrics
