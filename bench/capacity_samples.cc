#include "bench/capacity_samples.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "bench/capacity_fit.h"

namespace fireflyrun::bench {
namespace {

using Points = std::vector<std::pair<double, double>>;

void PrintFit(const std::string& measure, const char* against, const Points& points) {
  std::set<double> distinct_x;
  for (const auto& [x, y] : points) distinct_x.insert(x);
  if (distinct_x.size() < 2) return;
  const CapacityFit fit = FitLine(points);
  std::printf("fit measure=%s against=%s points=%zu slope=%.6g intercept=%.6g spread=%.3g\n",
              measure.c_str(), against, points.size(), fit.slope, fit.intercept,
              fit.residual_deviation);
}

}  // namespace

void CapacitySamples::Add(const std::string& measure, int zones, int nodes, double value) {
  this->samples.push_back({measure, zones, nodes, value});
  std::printf("sample measure=%s zones=%d nodes=%d value=%.6g\n", measure.c_str(), zones, nodes,
              value);
  std::fflush(stdout);
}

std::vector<std::string> CapacitySamples::Measures() const {
  std::vector<std::string> names;
  for (const auto& sample : this->samples) {
    const bool is_listed = std::find(names.begin(), names.end(), sample.measure) != names.end();
    if (!is_listed) names.push_back(sample.measure);
  }
  return names;
}

void CapacitySamples::PrintFits(int zone_nodes) const {
  for (const std::string& measure : this->Measures()) {
    Points by_nodes;
    Points by_zones;
    for (const auto& sample : this->samples) {
      if (sample.measure != measure) continue;
      if (sample.zones == 1) by_nodes.emplace_back(sample.nodes, sample.value);
      const bool is_even = sample.nodes == sample.zones * zone_nodes;
      if (is_even) by_zones.emplace_back(sample.zones, sample.value);
    }
    PrintFit(measure, "nodes", by_nodes);
    PrintFit(measure, "zones", by_zones);
  }
}

void CapacitySamples::WriteJson(const std::string& path) const {
  auto list = nlohmann::json::array();
  for (const auto& sample : this->samples) {
    list.push_back({{"measure", sample.measure},
                    {"zones", sample.zones},
                    {"nodes", sample.nodes},
                    {"value", sample.value}});
  }
  std::ofstream(path) << list.dump(1) << '\n';
}

}  // namespace fireflyrun::bench
