#pragma once

#include <cstdint>

#include "common/clock.h"
#include "policy/call_outcome.h"
#include "policy/reported_load.h"

namespace fireflyrun::policy {

/// This node's observations of one target node: calls in flight, reported load, failures, ejection.
class TargetLoad {
 public:
  void OnSent() { this->in_flight += 1; }
  void OnAnswered(CallOutcome outcome, Duration latency, const ReportedLoad& reported,
                  SteadyTime now);

  /// Estimated calls in flight: the reported number, corrected by the calls that this node has sent
  /// and got answers for since.
  double InFlight(SteadyTime now) const;
  std::uint32_t LocalInFlight() const { return this->in_flight; }
  /// The recently reported limit, otherwise `slots`.
  double Limit(std::uint32_t slots, SteadyTime now) const;
  /// Whether a limit was reported recently.
  bool HasRecentReport(SteadyTime now) const;
  /// Smoothed latency of successful calls; 0 before the first.
  double LatencySeconds() const { return this->latency_seconds; }

  /// Ejected because of failures: it gets no calls and, after the ejection time, one probe at a
  /// time until one succeeds. Several consecutive successes end the ejection before that time, so
  /// that it doesn't outlast a fault of all targets, during which ejected targets are still used.
  bool Ejected() const { return this->ejected; }
  bool ProbeDue(SteadyTime now) const;
  std::uint32_t ConsecutiveFailures() const { return this->consecutive_failures; }
  double FailureShare() const { return this->failure_share; }
  /// Failed a moment ago and fails often enough that a healthy target is preferred, though not
  /// often enough for an ejection. Expires by itself, since only calls show whether the target is
  /// healthy again.
  bool FailsOften(SteadyTime now) const;
  SteadyTime EjectedUntil() const { return this->ejected_until; }

 private:
  void OnFailure(SteadyTime now);
  void OnSuccess(Duration latency, SteadyTime now);
  void Eject(SteadyTime now);

  std::uint32_t in_flight = 0;
  ReportedLoad reported_load;
  std::uint32_t in_flight_at_report = 0;
  SteadyTime reported_at;
  double latency_seconds = 0;
  double failure_share = 0;  ///< Smoothed over calls.
  SteadyTime failed_at;
  std::uint32_t observed_calls = 0;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t consecutive_successes = 0;
  std::uint32_t ejections = 0;
  std::uint32_t successes_since_ejection = 0;
  bool ejected = false;
  SteadyTime ejected_until;
};

}  // namespace fireflyrun::policy
