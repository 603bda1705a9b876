#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "records/service_policy.h"
#include "records/service_route.h"

namespace fireflyrun::records {

/// One service. Schema 1 has one priority for all its calls; schema 2 adds routes and a body limit;
/// schema 3 adds the settings of ServicePolicy: those for its targets, and access only through
/// route records.
struct ServiceRecord {
  std::string name;
  int schema = 1;
  std::string priority;         ///< Name of a priority record.
  std::string retry_allowance;  ///< Name of a retry allowance record.
  std::chrono::milliseconds deadline{0};
  bool idempotent = false;
  std::vector<ServiceRoute> routes;
  std::optional<std::size_t> max_body_bytes;
  ServicePolicy policy;
};

}  // namespace fireflyrun::records
