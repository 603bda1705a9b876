#pragma once

#include <string>

namespace fireflyrun::records {

/// One of the services among which a route divides its calls.
struct RoutePart {
  std::string service;  ///< Name of a service record.
  int weight = 0;       ///< Its share is this over the sum of all parts; 0 to 1000.
};

}  // namespace fireflyrun::records
