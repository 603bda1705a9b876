#pragma once

#include <string>

namespace fireflyrun::node {

/// What a health probe of the target showed.
enum class ProbeOutcome {
  kServing,            ///< It answered 200 OK.
  kBusy,               ///< It runs but has no capacity even for the probe.
  kNotServing,         ///< It drains or fails: another status.
  kConnectionRefused,  ///< No process accepts connections there.
  kNoAnswer,           ///< No answer in time, or an unreadable one.
};

struct ProbeResult {
  ProbeOutcome outcome = ProbeOutcome::kNoAnswer;
  std::string id;  ///< Id of the run that answered; empty when the answer has none.
};

}  // namespace fireflyrun::node
