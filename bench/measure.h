#pragma once

#include <string>

namespace fireflyrun::bench {

/// Which side of its bound a measure must stay on.
enum class Bound { kAtLeast, kAtMost };

/// Prints `NAME: value unit (bound B): holds|short`; whether the bound holds.
bool Report(const std::string& name, double value, const std::string& unit, Bound side,
            double bound);

/// Prints a figure that has no bound, such as the baseline's.
void Note(const std::string& name, double value, const std::string& unit);

}  // namespace fireflyrun::bench
