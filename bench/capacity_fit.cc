#include "bench/capacity_fit.h"

#include <cmath>

namespace fireflyrun::bench {

CapacityFit FitLine(const std::vector<std::pair<double, double>>& points) {
  CapacityFit fit;
  if (points.empty()) return fit;
  const auto count = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const auto& [x, y] : points) {
    mean_x += x / count;
    mean_y += y / count;
  }
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& [x, y] : points) {
    sum_xx += (x - mean_x) * (x - mean_x);
    sum_xy += (x - mean_x) * (y - mean_y);
  }
  fit.slope = sum_xx > 0 ? sum_xy / sum_xx : 0;
  fit.intercept = mean_y - fit.slope * mean_x;
  double residuals = 0;
  for (const auto& [x, y] : points) residuals += std::pow(y - fit.At(x), 2);
  const double degrees_of_freedom = count > 2 ? count - 2 : 1;
  fit.residual_deviation = std::sqrt(residuals / degrees_of_freedom);
  return fit;
}

}  // namespace fireflyrun::bench
