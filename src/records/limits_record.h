#pragma once

#include <string>

#include "records/caller_limits.h"

namespace fireflyrun::records {

/// The limits on callers' requests. The only valid name is "default".
struct LimitsRecord {
  std::string name;
  CallerLimits limits;
};

}  // namespace fireflyrun::records
