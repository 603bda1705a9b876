#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/id128.h"

namespace fireflyrun::policy {

inline Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

inline SteadyTime AtSeconds(double seconds) {
  return SteadyTime(std::chrono::hours(1)) + ToDuration(seconds);
}

/// A target with `servers` parallel servers and its own unbounded FIFO queue.
class FakeTarget {
 public:
  struct Completion {
    SteadyTime at;
    SteadyTime started;
    Id128 id;

    bool operator>(const Completion& other) const { return this->at > other.at; }
  };

  FakeTarget(std::size_t servers, std::function<double()> service)
      : service_seconds(std::move(service)) {
    for (std::size_t i = 0; i < servers; ++i) this->free_at.push(SteadyTime{});
  }

  void SetService(std::function<double()> service) { this->service_seconds = std::move(service); }

  void Start(const Id128& id, SteadyTime now) {
    const SteadyTime begin = std::max(now, this->free_at.top());
    const SteadyTime end = begin + ToDuration(this->service_seconds());
    this->free_at.pop();
    this->free_at.push(end);
    this->completions.push({end, now, id});
  }

  bool Busy() const { return !this->completions.empty(); }
  SteadyTime NextAt() const { return this->completions.top().at; }
  std::size_t InFlight() const { return this->completions.size(); }

  Completion PopCompletion() {
    const Completion completion = this->completions.top();
    this->completions.pop();
    return completion;
  }

 private:
  template <typename Item>
  using EarliestFirst = std::priority_queue<Item, std::vector<Item>, std::greater<>>;

  std::function<double()> service_seconds;
  EarliestFirst<SteadyTime> free_at;
  EarliestFirst<Completion> completions;
};

/// Constant service times.
inline std::function<double()> ConstantService(double seconds) {
  return [seconds] { return seconds; };
}

/// Exponentially distributed service times.
inline std::function<double()> ExponentialService(double mean_seconds, std::uint64_t seed) {
  return [generator = std::mt19937_64(seed),
          distribution = std::exponential_distribution<>(1 / mean_seconds)]() mutable {
    return distribution(generator);
  };
}

}  // namespace fireflyrun::policy
