#pragma once

#include <string>

namespace fireflyrun::node {

/// What a question to the target showed.
enum class ProbeVerdict {
  kServing,    ///< It serves.
  kBusy,       ///< It is there and has no room even for the question.
  kUnwilling,  ///< It drains or fails.
  kGone,       ///< Nothing takes connections there.
  kSilent,     ///< No answer in time, or none that can be read.
};

struct ProbeResult {
  ProbeVerdict verdict = ProbeVerdict::kSilent;
  std::string id;  ///< Of the run that answered; empty where it isn't told.
};

}  // namespace fireflyrun::node
