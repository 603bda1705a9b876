#pragma once

#include <string>

namespace fireflyrun::records {

/// One of the services to which a route distributes its calls.
struct WeightedService {
  std::string service;  ///< Name of a service record.
  /// Share of the calls, relative to the sum of weights; 0 to kMaxWeight.
  double weight = 0;
};

}  // namespace fireflyrun::records
