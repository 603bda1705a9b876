#include "policy/admission_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fireflyrun::policy {
namespace {

/// The admission level adapts at the end of an interval. An interval ends after its minimum length
/// if the minimum number of calls was offered, otherwise at its maximum length.
constexpr Duration kMinInterval = std::chrono::milliseconds(100);
constexpr Duration kMaxInterval = std::chrono::milliseconds(500);
constexpr std::uint32_t kMinOfferedCalls = 10;
/// A persistent queue that drains within this share of the median service time is not overload.
constexpr double kMaxQueueServiceShare = 0.25;
/// Share of the allowed slots in use from which the target counts as busy.
constexpr double kBusyUtilization = 0.8;
constexpr double kMinServiceSeconds = 0.001;
/// Factor by which one service time moves the median estimate up or down.
constexpr double kMedianStepFactor = 1.1;
constexpr double kEstimateHalfLifeSeconds = 1;
constexpr double kMinRetryAfterSeconds = 0.1;
constexpr double kMaxRetryAfterSeconds = 10;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

AdmissionController::AdmissionController(AdmissionOptions admission_options,
                                         AdmissionHooks admission_hooks, SteadyTime now)
    : options(admission_options),
      hooks(std::move(admission_hooks)),
      queue(admission_options.queue_capacity),
      interval_start(now),
      last_completion(now) {}

void AdmissionController::SetSlots(std::uint32_t slots, const WarmUp& warm_up, SteadyTime now) {
  this->limit.SetCeiling(slots, warm_up, now);
  if (slots == 0) {
    this->RefuseEntries(this->queue.TakeAll(), RefusalReason::kNoTarget);
  } else {
    this->StartQueued(now);
  }
  this->RunActions();
}

void AdmissionController::SetLeaving(bool is_leaving) {
  this->leaving = is_leaving;
  if (!is_leaving) return;
  this->RefuseEntries(this->queue.TakeAll(), RefusalReason::kLeaving);
  this->RunActions();
}

void AdmissionController::Offer(const AdmissionRequest& request, SteadyTime now) {
  const RefusalReason refusal = this->Evaluate(request, now);
  if (refusal != RefusalReason::kNone) {
    this->actions.push_back({request.id, refusal});
  } else {
    this->Enqueue(request, now);
  }
  this->RunActions();
}

void AdmissionController::Finished(const Id128& id, Duration service_time, bool ok,
                                   SteadyTime now) {
  const auto in_flight_before = static_cast<std::uint32_t>(this->in_flight.size());
  if (this->in_flight.erase(id) == 0) return;
  this->limit.OnSample(service_time, ok, in_flight_before, now);
  this->level.OnCompleted();
  this->last_completion = now;
  if (ok) this->UpdateMedianServiceTime(Seconds(service_time));
  this->DropExpired(now);
  this->StartQueued(now);
  this->RunActions();
}

void AdmissionController::Abandoned(const Id128& id, SteadyTime now) {
  if (this->in_flight.erase(id) == 0) return;
  this->DropExpired(now);
  this->StartQueued(now);
  this->RunActions();
}

bool AdmissionController::Cancel(const Id128& id) {
  const bool was_queued = this->queue.Remove(id).has_value();
  this->UpdateShortestQueue();
  return was_queued;
}

void AdmissionController::Tick(SteadyTime now) {
  this->DropExpired(now);
  this->used_slots += static_cast<double>(this->in_flight.size());
  this->allowed_slots += this->limit.Limit(now);
  const Duration elapsed = now - this->interval_start;
  const bool enough_offered = this->offered_count >= kMinOfferedCalls;
  if (elapsed >= kMaxInterval || (elapsed >= kMinInterval && enough_offered))
    this->EndInterval(now);
  this->StartQueued(now);
  this->RunActions();
}

Duration AdmissionController::NextTick() const {
  if (this->queue.Size() > 0) return kTickInterval;
  const bool is_idle =
      this->in_flight.empty() && this->offered_count == 0 && this->level.Level() == kOpenLevel;
  return is_idle ? Duration::zero() : kIdleTickInterval;
}

Duration AdmissionController::RetryAfter() const {
  const double completed = std::max(this->level.CompletedRate(), 1.0);
  const double excess = std::max(1.0, this->level.OfferedRate() / completed);
  const double seconds = excess * this->DrainSeconds(this->queue.Size());
  return FromSeconds(std::clamp(seconds, kMinRetryAfterSeconds, kMaxRetryAfterSeconds));
}

Duration AdmissionController::ExpectedService(SteadyTime now) const {
  const double seconds_since_completion = std::max(0.0, Seconds(now - this->last_completion));
  const double share = std::exp2(-seconds_since_completion / kEstimateHalfLifeSeconds);
  return FromSeconds(this->median_service_seconds * share);
}

RefusalReason AdmissionController::Evaluate(const AdmissionRequest& request, SteadyTime now) {
  if (this->leaving) return RefusalReason::kLeaving;
  if (this->limit.Ceiling() == 0) return RefusalReason::kNoTarget;
  this->level.OnOffered(request.key);
  this->offered_count += 1;
  if (now + this->ExpectedService(now) > request.deadline) return RefusalReason::kDeadline;
  if (!this->level.Admits(request.key)) return RefusalReason::kAdmissionLevel;
  return RefusalReason::kNone;
}

void AdmissionController::Enqueue(const AdmissionRequest& request, SteadyTime now) {
  this->DropExpired(now);
  this->StartQueued(now);
  const Duration expected = this->ExpectedService(now);
  auto evicted =
      this->queue.Push({request.id, request.key, request.deadline, expected, {}, {}}, now);
  if (evicted) this->actions.push_back({evicted->id, RefusalReason::kQueueFull});
  this->StartQueued(now);
}

void AdmissionController::StartQueued(SteadyTime now) {
  const std::uint32_t max_in_flight = this->limit.Limit(now);
  while (this->in_flight.size() < max_in_flight) {
    const auto entry = this->queue.PopBest(now);
    if (!entry) break;
    this->in_flight.insert(entry->id);
    this->actions.push_back({entry->id, RefusalReason::kNone});
  }
  this->UpdateShortestQueue();
}

void AdmissionController::DropExpired(SteadyTime now) {
  this->RefuseEntries(this->queue.DropExpired(now), RefusalReason::kDeadline);
}

void AdmissionController::RefuseEntries(const std::vector<Queue::Entry>& entries,
                                        RefusalReason reason) {
  for (const Queue::Entry& entry : entries) this->actions.push_back({entry.id, reason});
  this->UpdateShortestQueue();
}

void AdmissionController::RunActions() {
  if (this->running_actions) return;
  this->running_actions = true;
  while (!this->actions.empty()) {
    const Action action = this->actions.front();
    this->actions.pop_front();
    if (action.refusal == RefusalReason::kNone) {
      this->hooks.start(action.id);
    } else {
      this->hooks.refuse(action.id, action.refusal);
    }
  }
  this->running_actions = false;
}

void AdmissionController::EndInterval(SteadyTime now) {
  const double service = std::max(this->median_service_seconds, kMinServiceSeconds);
  const double capacity = this->limit.Limit(now) / service;
  this->level.EndInterval(Seconds(now - this->interval_start), this->Pressure(), capacity);
  this->RefuseEntries(this->queue.DropBeyond(this->level.Level()), RefusalReason::kOverload);
  this->interval_start = now;
  this->offered_count = 0;
  this->shortest_queue = this->queue.Size();
  this->used_slots = 0;
  this->allowed_slots = 0;
}

AdmissionPressure AdmissionController::Pressure() const {
  const double max_seconds = std::max(Seconds(this->options.queue_target),
                                      kMaxQueueServiceShare * this->median_service_seconds);
  if (this->DrainSeconds(this->shortest_queue) > max_seconds) {
    return AdmissionPressure::kOverloaded;
  }
  const bool busy = this->used_slots >= kBusyUtilization * this->allowed_slots;
  return busy ? AdmissionPressure::kBusy : AdmissionPressure::kIdle;
}

double AdmissionController::DrainSeconds(std::size_t queued) const {
  if (queued == 0) return 0;
  const double rate = this->level.CompletedRate();
  if (rate <= 0) return kMaxRetryAfterSeconds;
  return static_cast<double>(queued) / rate;
}

void AdmissionController::UpdateMedianServiceTime(double seconds) {
  if (this->median_service_seconds == 0) {
    this->median_service_seconds = seconds;
    return;
  }
  const bool longer = seconds > this->median_service_seconds;
  this->median_service_seconds *= longer ? kMedianStepFactor : 1 / kMedianStepFactor;
}

void AdmissionController::UpdateShortestQueue() {
  this->shortest_queue = std::min(this->shortest_queue, this->queue.Size());
}

}  // namespace fireflyrun::policy
