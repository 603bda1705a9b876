#pragma once

#include <cstdint>
#include <string>

namespace fireflyrun::policy {

/// A class of calls, as an operator's `priority` record describes it.
struct CallClass {
  std::string name = {};
  std::uint32_t rank = 0;         ///< Lower ranks are shed later; rank 0 last.
  bool may_leave_region = false;  ///< Whether its calls may cross the inter-region link.
};

}  // namespace fireflyrun::policy
