#include "policy/target_load.h"

#include <algorithm>
#include <chrono>

namespace fireflyrun::policy {
namespace {

constexpr Duration kReportFreshDuration = std::chrono::seconds(2);
constexpr double kSmoothingWeight = 0.1;
constexpr std::uint32_t kEjectAfterFailures = 5;
constexpr std::uint32_t kReadmitAfterSuccesses = 5;
constexpr double kEjectFailureShare = 0.5;
constexpr double kFrequentFailureShare = 0.15;
constexpr Duration kAvoidDuration = std::chrono::seconds(1);
constexpr std::uint32_t kMinObservedCalls = 20;
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr std::uint32_t kMaxEjectionDoublings = 5;
/// After this many successes since an ejection, the next one is as short as the first.
constexpr std::uint32_t kSuccessesToResetEjections = 50;

}  // namespace

void TargetLoad::OnAnswered(CallOutcome outcome, Duration latency, const ReportedLoad& reported,
                            SteadyTime now) {
  if (this->in_flight > 0) this->in_flight -= 1;
  if (reported.limit > 0) {
    this->reported_load = reported;
    this->in_flight_at_report = this->in_flight;
    this->reported_at = now;
  }
  switch (outcome) {
    case CallOutcome::kSucceeded:
      this->OnSuccess(latency, now);
      return;
    case CallOutcome::kFailed:
    case CallOutcome::kTimedOut:
    case CallOutcome::kLinkLost:
      this->OnFailure(now);
      return;
    case CallOutcome::kRefused:
      if (this->ejected) this->ejected_until = now + kFirstEjection;
      return;
    case CallOutcome::kCancelled:
      return;
  }
}

bool TargetLoad::HasRecentReport(SteadyTime now) const {
  return this->reported_load.limit != 0 && now - this->reported_at <= kReportFreshDuration;
}

double TargetLoad::InFlight(SteadyTime now) const {
  const double local = this->in_flight;
  if (!this->HasRecentReport(now)) return local;
  const double since_report = local - this->in_flight_at_report;
  return std::max(local, this->reported_load.in_flight + since_report);
}

double TargetLoad::Limit(std::uint32_t slots, SteadyTime now) const {
  if (!this->HasRecentReport(now)) return slots;
  return this->reported_load.limit;
}

bool TargetLoad::ProbeDue(SteadyTime now) const {
  return this->ejected && now >= this->ejected_until && this->in_flight == 0;
}

bool TargetLoad::FailsOften(SteadyTime now) const {
  const bool often =
      this->observed_calls >= kMinObservedCalls && this->failure_share > kFrequentFailureShare;
  return often && now - this->failed_at < kAvoidDuration;
}

void TargetLoad::OnFailure(SteadyTime now) {
  this->failed_at = now;
  this->failure_share += kSmoothingWeight * (1 - this->failure_share);
  this->observed_calls += 1;
  this->consecutive_failures += 1;
  this->consecutive_successes = 0;
  if (this->ejected) {
    // Failures of calls sent before the ejection don't prolong it.
    if (now >= this->ejected_until) this->Eject(now);
    return;
  }
  const bool often =
      this->observed_calls >= kMinObservedCalls && this->failure_share > kEjectFailureShare;
  if (often || this->consecutive_failures >= kEjectAfterFailures) this->Eject(now);
}

void TargetLoad::OnSuccess(Duration latency, SteadyTime now) {
  const double seconds = std::chrono::duration<double>(latency).count();
  const double weight = this->latency_seconds > 0 ? kSmoothingWeight : 1;
  this->latency_seconds += weight * (seconds - this->latency_seconds);
  this->failure_share -= kSmoothingWeight * this->failure_share;
  this->observed_calls += 1;
  this->consecutive_failures = 0;
  this->successes_since_ejection += 1;
  this->consecutive_successes += 1;
  const bool recovered =
      now >= this->ejected_until || this->consecutive_successes >= kReadmitAfterSuccesses;
  if (this->ejected && recovered) {
    this->ejected = false;
    this->failure_share = 0;
    this->observed_calls = 0;
  }
  if (this->successes_since_ejection >= kSuccessesToResetEjections) this->ejections = 0;
}

void TargetLoad::Eject(SteadyTime now) {
  const std::uint32_t doublings = std::min(this->ejections, kMaxEjectionDoublings);
  this->ejected = true;
  this->ejected_until = now + kFirstEjection * (1U << doublings);
  this->ejections += 1;
  this->successes_since_ejection = 0;
}

}  // namespace fireflyrun::policy
