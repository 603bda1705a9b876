#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "policy/admission_controller.h"
#include "tests/policy/fake_target.h"

namespace fireflyrun::policy {

/// Calls of one kind: their service time, and their share of all calls.
struct CallKind {
  double seconds = 0;
  double share = 0;
};

/// Service times drawn at random from several kinds of calls. The shares may change at any time.
class CallMix {
 public:
  CallMix(std::vector<CallKind> call_kinds, std::uint64_t seed)
      : kinds(std::move(call_kinds)), generator(seed) {}

  void SetKinds(std::vector<CallKind> call_kinds) { this->kinds = std::move(call_kinds); }

  double Draw() {
    std::vector<double> shares;
    shares.reserve(this->kinds.size());
    for (const CallKind& kind : this->kinds) shares.push_back(kind.share);
    std::discrete_distribution<std::size_t> pick(shares.begin(), shares.end());
    return this->kinds[pick(this->generator)].seconds;
  }

 private:
  std::vector<CallKind> kinds;
  std::mt19937_64 generator;
};

struct LoopOptions {
  std::uint32_t slots = 0;    ///< As announced.
  std::uint32_t servers = 0;  ///< Calls that the target really runs at once.
  std::uint32_t callers = 0;
  double think_seconds = 0;  ///< Mean pause of a caller between two calls.
};

/// Discrete-event simulation of callers in a loop, each with one call at a time, and the node of
/// one target.
class CallersInLoop {
 public:
  CallersInLoop(const LoopOptions& loop_options, std::shared_ptr<CallMix> mix, std::uint64_t seed)
      : options(loop_options),
        generator(seed),
        target(loop_options.servers, [mix] { return mix->Draw(); }),
        controller({},
                   {[this](const Id128& id) { this->target.Start(id, this->now); },
                    [this](const Id128& id, RefusalReason) { this->OnRefuse(id); }},
                   AtSeconds(0)) {
    this->controller.SetSlots(loop_options.slots, AtSeconds(0));
    for (std::uint32_t i = 0; i < loop_options.callers; ++i) this->ScheduleCall();
  }

  void RunUntil(double seconds) {
    this->refused = 0;
    this->completed = 0;
    this->limit_sum = 0;
    const SteadyTime end = AtSeconds(seconds);
    while (true) {
      const SteadyTime completion = this->target.Busy() ? this->target.NextAt() : end;
      const SteadyTime call = this->next_calls.empty() ? end : this->next_calls.top();
      this->now = std::min({end, call, this->next_tick, completion});
      if (this->now == end) return;
      if (this->now == this->next_tick) {
        this->controller.Tick(this->now);
        this->next_tick += AdmissionController::kTickInterval;
      } else if (this->now == call) {
        this->next_calls.pop();
        this->Call();
      } else {
        this->Complete();
      }
    }
  }

  /// Calls of the latest run that were refused.
  std::uint32_t Refused() const { return this->refused; }
  std::uint32_t Completed() const { return this->completed; }
  std::uint32_t Limit() const { return this->controller.Limit(this->now); }
  /// Mean limit over the calls completed in the latest run.
  double MeanLimit() const { return this->limit_sum / this->completed; }

 private:
  void ScheduleCall() {
    double pause = 0;
    if (this->options.think_seconds > 0) {
      pause = std::exponential_distribution<>(1 / this->options.think_seconds)(this->generator);
    }
    this->next_calls.push(this->now + ToDuration(pause));
  }

  void Call() {
    const std::uint64_t low = this->generator();
    const std::uint64_t high = this->generator();
    const Id128 id(high, low);
    const auto hash = static_cast<std::uint32_t>(this->generator());
    this->controller.Offer({id, {0, hash}, this->now + std::chrono::seconds(10)}, this->now);
  }

  void Complete() {
    const auto completion = this->target.PopCompletion();
    this->completed += 1;
    this->limit_sum += this->controller.Limit(this->now);
    this->controller.Finished(completion.id, this->now - completion.started, true, this->now);
    this->ScheduleCall();
  }

  void OnRefuse(const Id128& /*id*/) {
    this->refused += 1;
    this->next_calls.push(this->now + std::chrono::milliseconds(100));
  }

  LoopOptions options;
  std::mt19937_64 generator;
  SteadyTime now = AtSeconds(0);
  SteadyTime next_tick = AtSeconds(0.01);
  std::priority_queue<SteadyTime, std::vector<SteadyTime>, std::greater<>> next_calls;
  std::uint32_t refused = 0;
  std::uint32_t completed = 0;
  double limit_sum = 0;
  FakeTarget target;
  AdmissionController controller;
};

}  // namespace fireflyrun::policy
