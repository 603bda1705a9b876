#pragma once

#include <string>
#include <vector>

namespace fireflyrun::bench {

/// One measured value of one run.
struct CapacitySample {
  std::string measure;  ///< With the unit as its last word, such as `idle_sent_bytes_per_second`.
  int zones = 0;
  int nodes = 0;
  double value = 0;
};

/// Prints each sample when it is added, and on request the lines fitted through the samples.
class CapacitySamples {
 public:
  void Add(const std::string& measure, int zones, int nodes, double value);
  /// Fits each measure against the nodes of one zone, and against zones of `zone_nodes` nodes.
  void PrintFits(int zone_nodes) const;
  void WriteJson(const std::string& path) const;

 private:
  std::vector<std::string> Measures() const;

  std::vector<CapacitySample> samples;
};

}  // namespace fireflyrun::bench
