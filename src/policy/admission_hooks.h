#pragma once

#include <functional>

#include "common/id128.h"
#include "policy/refusal_reason.h"

namespace fireflyrun::policy {

/// What an `AdmissionController` tells its owner.
struct AdmissionHooks {
  /// Hand the call to the target now; `AdmissionController::Finished` must follow.
  std::function<void(const Id128& id)> start;
  /// The call was not run and will not be.
  std::function<void(const Id128& id, RefusalReason reason)> refuse;
};

}  // namespace fireflyrun::policy
