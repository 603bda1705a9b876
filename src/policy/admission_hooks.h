#pragma once

#include <functional>

#include "common/id128.h"
#include "policy/refusal_reason.h"

namespace fireflyrun::policy {

/// Callbacks from an `AdmissionController` to its owner.
struct AdmissionHooks {
  /// Sends the call to the target now. The owner must call `AdmissionController::Finished` or
  /// `Abandoned` when it ends.
  std::function<void(const Id128& id)> start;
  /// The call has not run and never will.
  std::function<void(const Id128& id, RefusalReason reason)> refuse;
};

}  // namespace fireflyrun::policy
