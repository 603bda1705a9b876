#pragma once

#include <string>

namespace fireflyrun::node {

/// Names of the headers that callers and targets of a site speak. Empty: not spoken there.
struct WireNames {
  std::string request_id;  ///< Names one request; echoed by the target.
  /// Milliseconds left, relative, so that no clocks are compared.
  std::string deadline = "Firefly-Deadline-Ms";
  /// Names the call that a target is running; the target copies it onto its own calls.
  std::string handle = "Firefly-Request";
  /// On each refusal or failure: `not-run`, `ran` or `unknown`. Where callers read no such header,
  /// the status alone has to tell that a call has not run.
  std::string outcome = "Firefly-Outcome";
  std::string expected_target;  ///< The target's id, told to it with each call.
  std::string target_id;        ///< In a target's answers about itself.
  std::string not_run;          ///< In a target's answer: it has not run the call.
  std::string caller_service;   ///< The service on the host where the call began.
  /// The id of a call that a target makes is that of the request it runs, this text, and more.
  /// Empty where ids tell nothing.
  std::string child_separator;
  bool retry_after_fractions = false;  ///< Retry-After in seconds with fractions.
};

}  // namespace fireflyrun::node
