#include "tests/integration/call_recorder.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "tests/integration/fleet.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

/// Beyond the deadline, for the answer to arrive.
constexpr std::chrono::seconds kAnswerGrace{5};

std::string ProblemType(const HttpAnswer& answer) {
  const json body = json::parse(answer.body, nullptr, false);
  return body.is_object() ? body.value("type", "") : "";
}

}  // namespace

HttpAnswer CallRecorder::Call(const std::string& node, const std::string& method,
                              const std::string& path, const std::string& key,
                              std::chrono::milliseconds deadline) {
  RecordedCall record;
  record.key = key;
  HttpCall call;
  {
    const std::lock_guard lock(this->mutex);
    record.tag = "tag-" + std::to_string(this->tags++);
    record.begun = this->steps++;
    call.url = this->fleet.CallerUrl(node) + path;
  }
  call.method = method;
  call.headers = {"X-Request-Tag: " + record.tag,
                  "Firefly-Deadline-Ms: " + std::to_string(deadline.count())};
  if (!key.empty()) call.headers.push_back("Idempotency-Key: " + key);
  call.timeout = deadline + kAnswerGrace;
  auto answer = MakeCall(call);
  record.status = answer.status;
  record.outcome = answer.Header("firefly-outcome");
  record.problem = ProblemType(answer);
  const std::lock_guard lock(this->mutex);
  record.ended = this->steps++;
  this->calls.push_back(std::move(record));
  return answer;
}

void CallRecorder::KeepRunsOf(const std::string& node) {
  auto runs = this->ReadRuns(node);
  const std::lock_guard lock(this->mutex);
  this->kept_runs.insert(this->kept_runs.end(), runs.begin(), runs.end());
}

std::vector<CallRecorder::RecordedRun> CallRecorder::ReadRuns(const std::string& node) const {
  std::vector<RecordedRun> runs;
  const json document = json::parse(this->fleet.Runs(node));
  for (const auto& run : document["list"]) {
    runs.push_back({run.value("key", ""), run.value("tag", "")});
  }
  return runs;
}

std::vector<CallRecorder::RecordedRun> CallRecorder::AllRuns() const {
  auto runs = this->kept_runs;
  for (const auto& node : this->fleet.NodesWithTargets()) {
    auto more = this->ReadRuns(node);
    runs.insert(runs.end(), more.begin(), more.end());
  }
  return runs;
}

std::string CallRecorder::Violations() const {
  const std::lock_guard lock(this->mutex);
  const auto runs = this->AllRuns();
  return this->DoubledKeys(runs) + this->FalseOutcomes(runs);
}

std::string CallRecorder::DoubledKeys(const std::vector<RecordedRun>& runs) const {
  std::map<std::string, int> counts;
  for (const auto& run : runs) {
    if (!run.key.empty()) ++counts[run.key];
  }
  std::string text;
  for (const auto& [key, count] : counts) {
    if (count > 1) text += key + " ran " + std::to_string(count) + " times\n";
  }
  return text;
}

const CallRecorder::RecordedCall* CallRecorder::CallOf(const std::string& tag) const {
  const auto found = std::find_if(this->calls.begin(), this->calls.end(),
                                  [&tag](const RecordedCall& call) { return call.tag == tag; });
  return found == this->calls.end() ? nullptr : &*found;
}

/// A run that makes "not run" untrue: the call's own, or that of an earlier call with its key. The
/// latter is not held against an entry node that could not look the key up (see KNOWN-RED.txt).
bool CallRecorder::Contradicts(const RecordedCall& call, const RecordedRun& run) const {
  if (run.tag == call.tag) return true;
  if (call.key.empty() || run.key != call.key) return false;
  const RecordedCall* other = this->CallOf(run.tag);
  return other == nullptr || other->ended < call.begun;
}

std::string CallRecorder::FalseOutcomes(const std::vector<RecordedRun>& runs) const {
  std::string text;
  for (const auto& call : this->calls) {
    const bool said_not_run = call.outcome == "not-run";
    const bool said_ran = call.status == 200 || call.outcome == "ran";
    const auto contradicting = std::count_if(
        runs.begin(), runs.end(),
        [this, &call](const RecordedRun& run) { return this->Contradicts(call, run); });
    const bool ran = std::any_of(runs.begin(), runs.end(), [&call](const RecordedRun& run) {
      return call.key.empty() ? run.tag == call.tag : run.key == call.key;
    });
    const bool is_false = (said_not_run && contradicting > 0) || (said_ran && !ran);
    if (!is_false) continue;
    text += call.tag + " key " + call.key + " was told " + std::to_string(call.status) + " " +
            call.outcome + " (" + call.problem + "), ran: " + (ran ? "yes\n" : "no\n");
  }
  return text;
}

std::size_t CallRecorder::Count(int status) const {
  const std::lock_guard lock(this->mutex);
  return static_cast<std::size_t>(
      std::count_if(this->calls.begin(), this->calls.end(),
                    [status](const RecordedCall& call) { return call.status == status; }));
}

std::size_t CallRecorder::CountOutcome(const std::string& outcome) const {
  const std::lock_guard lock(this->mutex);
  return static_cast<std::size_t>(
      std::count_if(this->calls.begin(), this->calls.end(),
                    [&outcome](const RecordedCall& call) { return call.outcome == outcome; }));
}

std::size_t CallRecorder::Calls() const {
  const std::lock_guard lock(this->mutex);
  return this->calls.size();
}

}  // namespace fireflyrun::integration
