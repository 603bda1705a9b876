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

/// State of a call while the local target runs it. The calls that the target makes for it name it
/// by its handle and inherit from it.
struct CallContext {
  static constexpr std::size_t kMaxKeyBindings = 1024;

  Id128 handle;
  std::string request_id;  ///< Set by the caller; may be empty.
  Id128 root_id;
  SteadyTime deadline;
  policy::CallClass call_class;
  std::string tenant;
  std::uint32_t depth = 0;
  bool at_most_once = false;
  std::shared_ptr<policy::RetryAllotment> allotment;
  policy::KeyBindings bindings{kMaxKeyBindings};
  policy::PriorityKey tightest_level = policy::kOpenLevel;  ///< Reported by its child calls.
  bool child_failed = false;
  bool child_final = false;
  /// Child calls in progress, by dispatch id. The callback ends the child; its argument is the
  /// reason why this call ended first.
  std::map<std::uint64_t, std::function<void(policy::RefusalReason)>> child_end_callbacks;
};

}  // namespace fireflyrun::node
