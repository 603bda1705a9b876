#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/call_class.h"
#include "policy/priority_key.h"

namespace fireflyrun::policy {

/// A call for which a target is wanted.
struct TargetQuery {
  std::string service = {};
  CallClass call_class = {};
  PriorityKey key = {};
  std::vector<std::string> excluded = {};  ///< Nodes that this call was sent to already.
  std::uint64_t bytes = 0;                 ///< What the call would put on the inter-region link.
};

}  // namespace fireflyrun::policy
