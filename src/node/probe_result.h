#pragma once

#include <string>

namespace fireflyrun::node {

/// What a question to the target showed.
enum class ProbeOutcome {
  kServing,            ///< It serves.
  kBusy,               ///< It is there and has no room even for the question.
  kNotServing,         ///< It drains or fails.
  kConnectionRefused,  ///< Nothing takes connections there.
  kNoAnswer,           ///< No answer in time, or none that can be read.
};

struct ProbeResult {
  ProbeOutcome verdict = ProbeOutcome::kNoAnswer;
  std::string id;  ///< Of the run that answered; empty where it isn't told.
};

}  // namespace fireflyrun::node
