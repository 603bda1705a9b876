#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/call_class.h"
#include "policy/priority_key.h"

namespace fireflyrun::policy {

/// A call that needs a target.
struct TargetQuery {
  std::string service = {};
  std::string level_scope = {};  ///< Scope of the admission levels; empty: the service.
  CallClass call_class = {};
  PriorityKey key = {};
  std::vector<std::string> excluded = {};  ///< Nodes that this call was already sent to.
  std::uint64_t bytes = 0;  ///< Bytes that the call would send over the inter-region link.
};

}  // namespace fireflyrun::policy
