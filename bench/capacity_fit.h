#pragma once

#include <utility>
#include <vector>

namespace fireflyrun::bench {

/// A least-squares line through points (x, y).
struct CapacityFit {
  double slope = 0;
  double intercept = 0;
  double residual_deviation = 0;  ///< Standard deviation of the residuals, in the unit of y.

  double At(double x) const { return this->intercept + this->slope * x; }
};

/// With fewer than two distinct x the slope is 0 and the intercept is the mean of y.
CapacityFit FitLine(const std::vector<std::pair<double, double>>& points);

}  // namespace fireflyrun::bench
