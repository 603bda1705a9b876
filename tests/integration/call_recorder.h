#pragma once

#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include "tests/integration/http_call.h"

namespace fireflyrun::integration {

class Fleet;

/// Makes calls with a unique tag each and keeps what their callers were told, to hold it against
/// what the targets have run. Calls may be made on several threads.
class CallRecorder {
 public:
  explicit CallRecorder(Fleet& observed_fleet) : fleet(observed_fleet) {}

  /// One request through `node`; `key` may be empty.
  HttpAnswer Call(const std::string& node, const std::string& method, const std::string& path,
                  const std::string& key, std::chrono::milliseconds deadline);
  /// Keeps the runs of a target that is about to be ended.
  void KeepRunsOf(const std::string& node);

  /// Every key that ran twice and every caller who was told what is not so; empty when all is well.
  std::string Violations() const;
  /// Calls that ended with this status; 0 for those without an answer.
  std::size_t Count(int status) const;
  /// Calls whose outcome was reported as this.
  std::size_t CountOutcome(const std::string& outcome) const;
  std::size_t Calls() const;

 private:
  struct RecordedCall {
    std::string key;
    std::string tag;
    std::size_t begun = 0;  ///< Position in the order of all begins and ends of calls.
    std::size_t ended = 0;
    int status = 0;
    std::string outcome;
    std::string problem;
  };
  struct RecordedRun {
    std::string key;
    std::string tag;
  };

  std::vector<RecordedRun> ReadRuns(const std::string& node) const;
  std::vector<RecordedRun> AllRuns() const;
  const RecordedCall* CallOf(const std::string& tag) const;
  bool Contradicts(const RecordedCall& call, const RecordedRun& run) const;
  std::string DoubledKeys(const std::vector<RecordedRun>& runs) const;
  std::string FalseOutcomes(const std::vector<RecordedRun>& runs) const;

  Fleet& fleet;
  mutable std::mutex mutex;
  std::vector<RecordedCall> calls;
  std::vector<RecordedRun> kept_runs;
  std::size_t steps = 0;
  std::size_t tags = 0;
};

}  // namespace fireflyrun::integration
