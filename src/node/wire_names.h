#pragma once

#include <string>

namespace fireflyrun::node {

/// Names of the headers that callers and targets of a site use. Empty: not used there.
struct WireNames {
  std::string request_id;  ///< Identifies a request; echoed by the target.
  /// Remaining time in milliseconds. It is relative, so that no clocks are compared.
  std::string deadline = "Firefly-Deadline-Ms";
  /// Identifies the call that a target is running; the target copies it to its own calls.
  std::string handle = "Firefly-Request";
  /// On each refusal or failure: `not-run`, `ran` or `unknown`. Where callers don't read it, the
  /// status alone must show that a call has not run.
  std::string outcome = "Firefly-Outcome";
  std::string expected_target;  ///< The intended target's id, sent to it with each call.
  std::string target_id;        ///< The target's id in its answers about itself.
  std::string not_run;          ///< In a target's answer: it has not run the call.
  std::string caller_service;   ///< The service on the host where the call began.
  /// The id of a call that a target makes consists of the id of the request it runs, this text, and
  /// a suffix. Empty where ids don't identify the parent.
  std::string child_separator;
  bool retry_after_fractions = false;  ///< Retry-After in seconds with fractions.
};

}  // namespace fireflyrun::node
