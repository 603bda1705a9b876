#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "metrics/label.h"

namespace fireflyrun::metrics {

/// True for `[a-zA-Z_:][a-zA-Z0-9_:]*`.
bool IsMetricName(std::string_view name);

/// True for `[a-zA-Z_][a-zA-Z0-9_]*`.
bool IsLabelName(std::string_view name);

/// Appends the `# HELP` and `# TYPE` lines.
void AppendMetadata(std::string_view name, std::string_view help, std::string_view type,
                    std::string* out);

/// Appends one sample line; label values are escaped.
void AppendSample(std::string_view name, const Labels& labels, double value, std::string* out);
void AppendSample(std::string_view name, const Labels& labels, std::uint64_t value,
                  std::string* out);

/// Returns the shortest decimal text that parses back to `value`, or `NaN`, `+Inf`, `-Inf`.
std::string FormatValue(double value);

}  // namespace fireflyrun::metrics
