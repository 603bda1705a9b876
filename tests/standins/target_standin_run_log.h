#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.h"

namespace fireflyrun::standins {

/// Every run of a request, kept for the life of the process.
class RunLog {
 public:
  using RunNumber = std::size_t;

  RunNumber Begin(const std::string& key, const std::string& tag);
  void Complete(RunNumber run);
  void Cancel(RunNumber run);
  /// A request whose caller left before it ran.
  void LeftQueue() { ++this->left_queue; }

  /// Counters; with `full`, also each run's key and tag.
  nlohmann::json ToJson(bool full) const;

 private:
  struct Run {
    std::string key;  ///< Idempotency-Key; may be empty.
    std::string tag;
    SteadyTime start;
    SteadyTime end;
  };

  SteadyTime started = SteadyClock::now();
  std::vector<Run> runs;
  std::unordered_map<std::string, std::size_t> runs_by_key;
  std::size_t completed = 0;
  std::size_t cancelled = 0;
  std::size_t left_queue = 0;
};

}  // namespace fireflyrun::standins
