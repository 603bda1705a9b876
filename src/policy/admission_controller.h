#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>
#include <vector>

#include "common/clock.h"
#include "common/id128.h"
#include "policy/admission_hooks.h"
#include "policy/admission_level.h"
#include "policy/admission_options.h"
#include "policy/admission_pressure.h"
#include "policy/admission_queue.h"
#include "policy/admission_request.h"
#include "policy/concurrency_limit.h"

namespace fireflyrun::policy {

/// Decides at the target's node which calls run, wait or are refused.
///
/// Hooks are called from within the methods below, after the state has changed; a hook may call the
/// controller again but must not destroy it. The owner calls `Tick` after the delay that `NextTick`
/// returns.
class AdmissionController {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(10);
  /// Tick interval while calls run and none waits: ticks then only measure utilization.
  static constexpr Duration kIdleTickInterval = std::chrono::milliseconds(50);

  AdmissionController(AdmissionOptions admission_options, AdmissionHooks admission_hooks,
                      SteadyTime now);
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  /// Sets the target's announced slots and the warm-up of a new target. 0 slots: there is no
  /// target, and queued calls are refused with `kNoTarget`.
  void SetSlots(std::uint32_t slots, const WarmUp& warm_up, SteadyTime now);
  void SetSlots(std::uint32_t slots, SteadyTime now) { this->SetSlots(slots, WarmUp(), now); }
  /// The target is leaving: queued and new calls are refused with `kLeaving`; calls in flight
  /// finish.
  void SetLeaving(bool is_leaving);

  /// Calls exactly one of the hooks `start` and `refuse`, immediately or later, unless `Cancel`
  /// removes the call first.
  void Offer(const AdmissionRequest& request, SteadyTime now);
  /// A started call ended; `ok` is false for timeouts and broken exchanges. Unknown ids are
  /// ignored.
  void Finished(const Id128& id, Duration service_time, bool ok, SteadyTime now);
  /// A started call ended without a usable service time, for instance by cancellation. Unknown ids
  /// are ignored.
  void Abandoned(const Id128& id, SteadyTime now);
  /// Removes a queued call and returns true; no hook is called for it. A call in flight is not
  /// affected and still requires `Finished`.
  bool Cancel(const Id128& id);
  /// Drops queued calls that can't meet their deadline, and adapts the admission level.
  void Tick(SteadyTime now);

  /// Delay until the next Tick(); zero for an idle controller, which needs no ticks until a call is
  /// offered.
  Duration NextTick() const;

  PriorityKey Level() const { return this->level.Level(); }
  std::uint32_t InFlight() const { return static_cast<std::uint32_t>(this->in_flight.size()); }
  std::uint32_t Limit(SteadyTime now) const { return this->limit.Limit(now); }
  std::size_t QueueLength() const { return this->queue.Size(); }
  /// Delay after which a refused caller may retry.
  Duration RetryAfter() const;
  /// Estimated median service time at the target. It decays while no call completes, because a
  /// too long estimate would otherwise refuse the calls that could correct it.
  Duration ExpectedService(SteadyTime now) const;

 private:
  struct Empty {};
  using Queue = AdmissionQueue<Empty>;
  struct Action {
    Id128 id;
    RefusalReason refusal = RefusalReason::kNone;  ///< kNone: start the call.
  };

  /// The reason to refuse the request immediately; kNone if it may be queued.
  RefusalReason Evaluate(const AdmissionRequest& request, SteadyTime now);
  void Enqueue(const AdmissionRequest& request, SteadyTime now);
  void StartQueued(SteadyTime now);
  void RefuseEntries(const std::vector<Queue::Entry>& entries, RefusalReason reason);
  void RunActions();
  void DropExpired(SteadyTime now);
  void EndInterval(SteadyTime now);
  AdmissionPressure Pressure() const;
  /// Seconds until `queued` calls have completed at the current completion rate.
  double DrainSeconds(std::size_t queued) const;
  void UpdateMedianServiceTime(double seconds);
  void UpdateShortestQueue();

  AdmissionOptions options;
  AdmissionHooks hooks;
  ConcurrencyLimit limit;
  AdmissionLevel level;
  Queue queue;
  std::unordered_set<Id128> in_flight;
  std::deque<Action> actions;
  bool running_actions = false;
  bool leaving = false;
  SteadyTime interval_start;
  std::size_t shortest_queue = 0;     ///< Minimum queue length in this interval.
  double used_slots = 0;              ///< Calls in flight, summed over this interval's ticks.
  double allowed_slots = 0;           ///< The limit, summed over this interval's ticks.
  std::uint32_t offered_count = 0;    ///< Calls offered in this interval.
  double median_service_seconds = 0;  ///< Of successful calls; 0 before the first.
  SteadyTime last_completion;
};

}  // namespace fireflyrun::policy
