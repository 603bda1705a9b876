#include "bench/measure.h"

#include <cstdio>

namespace fireflyrun::bench {

bool Report(const std::string& name, double value, const std::string& unit, Bound side,
            double bound) {
  const bool at_least = side == Bound::kAtLeast;
  const bool holds = at_least ? value >= bound : value <= bound;
  std::printf("%s: %.3f %s (bound %s %.3g): %s\n", name.c_str(), value, unit.c_str(),
              at_least ? "at least" : "at most", bound, holds ? "holds" : "short");
  std::fflush(stdout);
  return holds;
}

void PrintFigure(const std::string& name, double value, const std::string& unit) {
  std::printf("  %s: %.3f %s\n", name.c_str(), value, unit.c_str());
  std::fflush(stdout);
}

}  // namespace fireflyrun::bench
