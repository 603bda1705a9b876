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
  double square = 0;
  double product = 0;
  for (const auto& [x, y] : points) {
    square += (x - mean_x) * (x - mean_x);
    product += (x - mean_x) * (y - mean_y);
  }
  fit.slope = square > 0 ? product / square : 0;
  fit.intercept = mean_y - fit.slope * mean_x;
  double residuals = 0;
  for (const auto& [x, y] : points) residuals += std::pow(y - fit.At(x), 2);
  const double freedom = count > 2 ? count - 2 : 1;
  fit.spread = std::sqrt(residuals / freedom);
  return fit;
}

}  // namespace fireflyrun::bench
