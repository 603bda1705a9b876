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
/// Hooks are called from within the events below, after the state has changed; a hook may call the
/// controller again but must not destroy it. `Tick` is due as `NextTick` tells.
class AdmissionController {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(10);
  /// While calls run and none waits, ticks only measure use.
  static constexpr Duration kIdleTickInterval = std::chrono::milliseconds(50);

  AdmissionController(AdmissionOptions admission_options, AdmissionHooks admission_hooks,
                      SteadyTime now);
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  /// The target's announced slots, and how long it takes to warm up if it is new; 0 while there is
  /// none, when queued calls are refused `kNoTarget`.
  void SetSlots(std::uint32_t slots, const WarmUp& warm_up, SteadyTime now);
  void SetSlots(std::uint32_t slots, SteadyTime now) { this->SetSlots(slots, WarmUp(), now); }
  /// The target is leaving: queued and new calls are refused `kLeaving`; calls in flight finish.
  void SetLeaving(bool is_leaving);

  /// Leads to exactly one of `start` and `refuse`, at once or later, unless `Cancel` comes first.
  void Offer(const AdmissionRequest& request, SteadyTime now);
  /// A started call ended; `ok` is false for timeouts and broken exchanges. Unknown ids are
  /// ignored.
  void Finished(const Id128& id, Duration service_time, bool ok, SteadyTime now);
  /// A started call ended in a way that says nothing about the target's speed, such as a
  /// cancellation. Unknown ids are ignored.
  void Abandoned(const Id128& id, SteadyTime now);
  /// True if the call was queued: it is removed and no hook follows. A call in flight is not
  /// affected and still has to be `Finished`.
  bool Cancel(const Id128& id);
  /// Drops queued calls that can't meet their deadline, and adapts the level.
  void Tick(SteadyTime now);

  /// When the next Tick() is due; zero for a controller at rest, which needs none until a call is
  /// offered.
  Duration NextTick() const;

  PriorityKey Level() const { return this->level.Level(); }
  std::uint32_t InFlight() const { return static_cast<std::uint32_t>(this->in_flight.size()); }
  std::uint32_t Limit(SteadyTime now) const { return this->limit.Limit(now); }
  std::size_t QueueLength() const { return this->queue.Size(); }
  /// When a refused caller may reasonably try again, from now.
  Duration RetryAfter() const;
  /// What half of the calls need at the target. Falls while no call completes, so that a long
  /// estimate can't keep out the calls that would correct it.
  Duration ExpectedService(SteadyTime now) const;

 private:
  struct Empty {};
  using Queue = AdmissionQueue<Empty>;
  struct Action {
    Id128 id;
    RefusalReason refusal = RefusalReason::kNone;  ///< kNone: start.
  };

  /// Why the request is refused at once; kNone if it may wait.
  RefusalReason Judge(const AdmissionRequest& request, SteadyTime now);
  void Enqueue(const AdmissionRequest& request, SteadyTime now);
  void StartQueued(SteadyTime now);
  void RefuseEntries(const std::vector<Queue::Entry>& entries, RefusalReason reason);
  void RunActions();
  void DropExpired(SteadyTime now);
  void EndInterval(SteadyTime now);
  AdmissionPressure Pressure() const;
  /// Time that the calls queued need at the rate of completions.
  double DrainSeconds(std::size_t queued) const;
  void NoteServiceTime(double seconds);
  void NoteQueue();

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
  std::size_t shortest_queue = 0;     ///< In this interval.
  double used_slots = 0;              ///< Calls in flight, summed over this interval's ticks.
  double allowed_slots = 0;           ///< The limit, likewise.
  std::uint32_t offered_count = 0;    ///< In this interval.
  double median_service_seconds = 0;  ///< Of successes; 0 before the first.
  SteadyTime last_completion;
};

}  // namespace fireflyrun::policy
