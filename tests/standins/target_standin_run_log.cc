#include "tests/standins/target_standin_run_log.h"

#include <nlohmann/json.hpp>

namespace fireflyrun::standins {

RunLog::RunNumber RunLog::Begin(const std::string& key, const std::string& tag) {
  this->runs.push_back({key, tag, SteadyClock::now(), {}});
  if (!key.empty()) ++this->runs_by_key[key];
  return this->runs.size() - 1;
}

void RunLog::Complete(RunNumber run) {
  this->runs[run].end = SteadyClock::now();
  ++this->completed;
}

void RunLog::Cancel(RunNumber run) {
  this->runs[run].end = SteadyClock::now();
  ++this->cancelled;
}

nlohmann::json RunLog::ToJson(bool full) const {
  nlohmann::json doubled = nlohmann::json::object();
  for (const auto& [key, count] : this->runs_by_key) {
    if (count > 1) doubled[key] = count;
  }
  nlohmann::json log = {{"runs", this->runs.size()},      {"completed", this->completed},
                        {"cancelled", this->cancelled},   {"left_queue", this->left_queue},
                        {"doubled_keys", doubled.size()}, {"runs_of_doubled_keys", doubled}};
  if (!full) return log;
  log["list"] = nlohmann::json::array();
  for (const Run& run : this->runs) {
    const bool ended = run.end != SteadyTime{};
    nlohmann::json entry = {{"key", run.key}, {"tag", run.tag}};
    entry["start_us"] = ToMicroseconds(run.start - this->started).count();
    if (ended) entry["end_us"] = ToMicroseconds(run.end - this->started).count();
    log["list"].push_back(std::move(entry));
  }
  return log;
}

}  // namespace fireflyrun::standins
