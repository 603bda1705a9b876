#pragma once

#include <string>

namespace fireflyrun::bench {

/// Whether a bound is a lower or an upper one.
enum class Bound { kAtLeast, kAtMost };

/// Prints `NAME: value unit (bound B): holds|short`; returns whether the bound holds.
bool Report(const std::string& name, double value, const std::string& unit, Bound side,
            double bound);

/// Prints a figure without a bound, such as one of the baseline.
void PrintFigure(const std::string& name, double value, const std::string& unit);

}  // namespace fireflyrun::bench
