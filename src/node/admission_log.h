#pragma once

#include "common/clock.h"
#include "policy/priority_key.h"

namespace fireflyrun::policy {
class AdmissionController;
}

namespace fireflyrun::node {

/// Logs changes of the local target's admission level, at most once per second.
class AdmissionLog {
 public:
  void LogIfChanged(const policy::AdmissionController& admission);

 private:
  policy::PriorityKey last_logged_level = policy::kOpenLevel;
  SteadyTime last_logged_at;
};

}  // namespace fireflyrun::node
