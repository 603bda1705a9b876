#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/clock.h"
#include "common/id128.h"
#include "policy/call_class.h"
#include "policy/key_bindings.h"
#include "policy/priority_key.h"
#include "policy/refusal_reason.h"
#include "policy/retry_allotment.h"

namespace fireflyrun::node {

/// What a node keeps of a call while its target runs it. The target's own calls name it by its
/// handle and inherit from it.
struct CallContext {
  static constexpr std::size_t kMaxKeyBindings = 1024;

  Id128 handle;
  std::string request_id;  ///< The caller's, where it gave one.
  Id128 root_id;
  SteadyTime deadline;
  policy::CallClass call_class;
  std::string tenant;
  std::uint32_t depth = 0;
  bool at_most_once = false;
  std::shared_ptr<policy::RetryAllotment> allotment;
  policy::KeyBindings bindings{kMaxKeyBindings};
  policy::PriorityKey tightest_level = policy::kOpenLevel;  ///< Heard from the calls it made.
  bool child_failed = false;
  bool child_final = false;
  /// Of the calls in progress: ends one, told why this call ended before it.
  std::map<std::uint64_t, std::function<void(policy::RefusalReason)>> child_ends;
};

}  // namespace fireflyrun::node
