#pragma once

#include "common/clock.h"
#include "policy/priority_key.h"

namespace fireflyrun::policy {
class AdmissionController;
}

namespace fireflyrun::node {

/// Writes a line when the admission level of this host's target has changed, once a second at most.
class AdmissionLog {
 public:
  void Note(const policy::AdmissionController& admission);

 private:
  policy::PriorityKey told = policy::kOpenLevel;
  SteadyTime told_at;
};

}  // namespace fireflyrun::node
