#include "policy/target_load.h"

#include <algorithm>
#include <chrono>

namespace fireflyrun::policy {
namespace {

constexpr Duration kHeardFreshFor = std::chrono::seconds(2);
constexpr double kSmoothing = 0.1;
constexpr std::uint32_t kEjectAfterFailures = 5;
constexpr std::uint32_t kReadmitAfterSuccesses = 5;
constexpr double kEjectFailureShare = 0.5;
constexpr double kOftenFailureShare = 0.15;
constexpr Duration kPassedOverFor = std::chrono::seconds(1);
constexpr std::uint32_t kMinObserved = 20;
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr std::uint32_t kMaxEjectionDoublings = 5;
/// So many successes after an ejection make the next one as short as the first.
constexpr std::uint32_t kSuccessesToClear = 50;

}  // namespace

void TargetLoad::OnAnswered(CallOutcome outcome, Duration latency, const ReportedLoad& heard,
                            SteadyTime now) {
  if (this->in_flight > 0) this->in_flight -= 1;
  if (heard.limit > 0) {
    this->heard_load = heard;
    this->in_flight_when_heard = this->in_flight;
    this->heard_at = now;
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
  return this->heard_load.limit != 0 && now - this->heard_at <= kHeardFreshFor;
}

double TargetLoad::InFlight(SteadyTime now) const {
  const double here = this->in_flight;
  if (!this->HasRecentReport(now)) return here;
  const double since_heard = here - this->in_flight_when_heard;
  return std::max(here, this->heard_load.in_flight + since_heard);
}

double TargetLoad::Limit(std::uint32_t slots, SteadyTime now) const {
  if (!this->HasRecentReport(now)) return slots;
  return this->heard_load.limit;
}

bool TargetLoad::ProbeDue(SteadyTime now) const {
  return this->ejected && now >= this->ejected_until && this->in_flight == 0;
}

bool TargetLoad::FailsOften(SteadyTime now) const {
  const bool often = this->observed >= kMinObserved && this->failure_share > kOftenFailureShare;
  return often && now - this->failed_at < kPassedOverFor;
}

void TargetLoad::OnFailure(SteadyTime now) {
  this->failed_at = now;
  this->failure_share += kSmoothing * (1 - this->failure_share);
  this->observed += 1;
  this->consecutive_failures += 1;
  this->consecutive_successes = 0;
  if (this->ejected) {
    // Late failures of calls sent before the ejection are no news.
    if (now >= this->ejected_until) this->Eject(now);
    return;
  }
  const bool often = this->observed >= kMinObserved && this->failure_share > kEjectFailureShare;
  if (often || this->consecutive_failures >= kEjectAfterFailures) this->Eject(now);
}

void TargetLoad::OnSuccess(Duration latency, SteadyTime now) {
  const double seconds = std::chrono::duration<double>(latency).count();
  const double weight = this->latency_seconds > 0 ? kSmoothing : 1;
  this->latency_seconds += weight * (seconds - this->latency_seconds);
  this->failure_share -= kSmoothing * this->failure_share;
  this->observed += 1;
  this->consecutive_failures = 0;
  this->successes_since_ejection += 1;
  this->consecutive_successes += 1;
  const bool proved =
      now >= this->ejected_until || this->consecutive_successes >= kReadmitAfterSuccesses;
  if (this->ejected && proved) {
    this->ejected = false;
    this->failure_share = 0;
    this->observed = 0;
  }
  if (this->successes_since_ejection >= kSuccessesToClear) this->ejections = 0;
}

void TargetLoad::Eject(SteadyTime now) {
  const std::uint32_t doublings = std::min(this->ejections, kMaxEjectionDoublings);
  this->ejected = true;
  this->ejected_until = now + kFirstEjection * (1U << doublings);
  this->ejections += 1;
  this->successes_since_ejection = 0;
}

}  // namespace fireflyrun::policy
