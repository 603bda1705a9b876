#pragma once

#include <string>

namespace fireflyrun::records {

/// A call class and its priority.
struct PriorityRecord {
  std::string name;
  int rank = 0;  ///< 0 to 63; 0 is shed last.
  bool may_leave_region = false;
};

}  // namespace fireflyrun::records
