#pragma once

#include <cstdint>

#include "common/clock.h"
#include "policy/call_outcome.h"
#include "policy/reported_load.h"

namespace fireflyrun::policy {

/// What this node has observed of one target node: calls in flight, load heard, failures, ejection.
class TargetLoad {
 public:
  void OnSent() { this->in_flight += 1; }
  void OnAnswered(CallOutcome outcome, Duration latency, const ReportedLoad& heard, SteadyTime now);

  /// Calls in flight as far as known: heard, corrected by what was sent and answered here since.
  double InFlight(SteadyTime now) const;
  std::uint32_t LocalInFlight() const { return this->in_flight; }
  /// The limit heard lately, otherwise `slots`.
  double Limit(std::uint32_t slots, SteadyTime now) const;
  /// A limit was heard lately.
  bool HasRecentReport(SteadyTime now) const;
  /// Smoothed time of successes; 0 before the first.
  double LatencySeconds() const { return this->latency_seconds; }

  /// Ejected for its failures: it gets no calls, or after the ejection time one probe at a time,
  /// until one succeeds. Before that time some successes in a row end the ejection, so that it does
  /// not outlast a fault that all targets had and during which they were used all the same.
  bool Ejected() const { return this->ejected; }
  bool ProbeDue(SteadyTime now) const;
  std::uint32_t ConsecutiveFailures() const { return this->consecutive_failures; }
  double FailureShare() const { return this->failure_share; }
  /// Failed a moment ago and fails so much that a sound target is to be preferred, though not
  /// enough for an ejection. Ends by itself, since only calls tell that the target is sound again.
  bool FailsOften(SteadyTime now) const;
  SteadyTime EjectedUntil() const { return this->ejected_until; }

 private:
  void OnFailure(SteadyTime now);
  void OnSuccess(Duration latency, SteadyTime now);
  void Eject(SteadyTime now);

  std::uint32_t in_flight = 0;
  ReportedLoad heard_load;
  std::uint32_t in_flight_when_heard = 0;
  SteadyTime heard_at;
  double latency_seconds = 0;
  double failure_share = 0;  ///< Smoothed over calls.
  SteadyTime failed_at;
  std::uint32_t observed = 0;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t consecutive_successes = 0;
  std::uint32_t ejections = 0;
  std::uint32_t successes_since_ejection = 0;
  bool ejected = false;
  SteadyTime ejected_until;
};

}  // namespace fireflyrun::policy
