#include "cli/request_timeline.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace fireflyrun::cli {
namespace {

constexpr std::string_view kCallerComponent = "caller";
constexpr std::string_view kTargetComponent = "target";

bool IsFinalEvent(std::string_view event) {
  return event == "answered" || event == "refused" || event == "failed" || event == "cancelled";
}

bool IsFailure(const LogRecord& record) { return !record.Get("cause").empty(); }

/// True if `id` names a call made directly for `parent`.
bool IsChild(std::string_view id, std::string_view parent) {
  if (id.size() <= parent.size() + 1 || !id.starts_with(parent)) return false;
  const std::string_view rest = id.substr(parent.size());
  return rest.front() == '.' && rest.find('.', 1) == std::string_view::npos;
}

using LineRanges = std::vector<std::pair<std::size_t, std::size_t>>;

}  // namespace

void RequestTimeline::Add(std::string_view line) {
  if (line.find(this->request) == std::string_view::npos) return;
  auto record = ParseLogRecord(line);
  if (record && this->IsRelated(record->Get("request"))) {
    this->records.push_back(std::move(*record));
  }
}

bool RequestTimeline::IsRelated(std::string_view id) const {
  if (!id.starts_with(this->request)) return false;
  return id.size() == this->request.size() || id[this->request.size()] == '.';
}

const LogRecord* RequestTimeline::FindFinalRecord(std::string_view id) const {
  const LogRecord* end = nullptr;
  for (const auto& record : this->records) {
    const bool own = record.Get("request") == id && record.Get("part") == kCallerComponent;
    if (own && IsFinalEvent(record.Get("event"))) end = &record;
  }
  return end;
}

std::vector<const LogRecord*> RequestTimeline::FindCauses() const {
  std::vector<const LogRecord*> causes;
  const auto ordered = this->CausalOrder();
  std::string_view id = this->request;
  for (const LogRecord* end = this->FindFinalRecord(id); end != nullptr && IsFailure(*end);) {
    causes.push_back(end);
    const LogRecord* failed_child = nullptr;
    for (const LogRecord* record : ordered) {
      // Skips cancelled calls: the parent's end causes a cancellation, not the other way round.
      const auto event = record->Get("event");
      const bool ends =
          record->Get("part") == kCallerComponent && IsFinalEvent(event) && event != "cancelled";
      if (ends && IsFailure(*record) && IsChild(record->Get("request"), id)) failed_child = record;
    }
    if (failed_child == nullptr) break;
    end = failed_child;
    id = failed_child->Get("request");
  }
  return causes;
}

RequestTimeline::Followers RequestTimeline::FindFollowers() const {
  Followers followers(this->records.size());
  std::map<std::string_view, std::size_t> last_line_of_node;
  std::map<std::string_view, std::vector<std::size_t>> callers;
  std::map<std::pair<std::string_view, std::string_view>, std::vector<std::size_t>> targets;
  for (std::size_t i = 0; i < this->records.size(); ++i) {
    const auto node = this->Get(i, "node");
    if (const auto last = last_line_of_node.find(node); last != last_line_of_node.end()) {
      followers[last->second].push_back(i);
    }
    last_line_of_node[node] = i;
    const auto id = this->Get(i, "request");
    if (this->Get(i, "part") == kCallerComponent) callers[id].push_back(i);
    if (this->Get(i, "part") == kTargetComponent) targets[{id, node}].push_back(i);
  }
  for (const auto& [target, lines] : targets) {
    this->LinkCall(callers[target.first], lines, &followers);
  }
  return followers;
}

void RequestTimeline::LinkCall(const std::vector<std::size_t>& caller_lines,
                               const std::vector<std::size_t>& target_lines,
                               Followers* followers) const {
  const auto node = this->Get(target_lines.front(), "node");
  // First and last line of each attempt in the log of the target's node.
  LineRanges attempts;
  bool open = false;
  for (const std::size_t line : target_lines) {
    if (!open) attempts.emplace_back(line, line);
    attempts.back().second = line;
    open = !IsFinalEvent(this->Get(line, "event"));
  }
  std::vector<std::size_t> sent;
  std::vector<std::size_t> ended;
  std::vector<std::size_t> last;
  for (const std::size_t line : caller_lines) {
    const auto event = this->Get(line, "event");
    if (event == "sent" && this->Get(line, "target") == node) sent.push_back(line);
    if (event == "attempt-ended" && this->Get(line, "target") == node) ended.push_back(line);
    if (IsFinalEvent(event)) last.push_back(line);
  }
  for (std::size_t i = 0; i < attempts.size(); ++i) {
    const auto [first_line, last_line] = attempts[i];
    if (i < sent.size()) (*followers)[sent[i]].push_back(first_line);
    if (i < ended.size()) {
      (*followers)[last_line].push_back(ended[i]);
    } else if (!last.empty() && this->Get(last.back(), "event") != "cancelled") {
      (*followers)[last_line].push_back(last.back());
    } else if (!last.empty() && this->Get(last_line, "event") == "cancelled") {
      (*followers)[last.back()].push_back(last_line);
    }
  }
}

std::vector<const LogRecord*> RequestTimeline::CausalOrder() const {
  const Followers followers = this->FindFollowers();
  std::vector<std::size_t> pending_predecessors(this->records.size(), 0);
  for (const auto& list : followers) {
    for (const std::size_t line : list) ++pending_predecessors[line];
  }
  // Picks the earliest line without pending predecessors. If contradictory logs form a cycle, picks
  // the earliest line anyway, so that every line is returned.
  std::set<std::tuple<bool, std::string_view, std::size_t>> next;
  const auto rank = [&](std::size_t i) {
    return std::tuple(pending_predecessors[i] > 0, this->Get(i, "ts"), i);
  };
  for (std::size_t i = 0; i < this->records.size(); ++i) next.insert(rank(i));
  std::vector<const LogRecord*> ordered;
  while (!next.empty()) {
    const std::size_t line = std::get<2>(*next.begin());
    next.erase(next.begin());
    ordered.push_back(&this->records[line]);
    for (const std::size_t follower : followers[line]) {
      const bool was_pending = next.erase(rank(follower)) > 0;
      --pending_predecessors[follower];
      if (was_pending) next.insert(rank(follower));
    }
  }
  return ordered;
}

}  // namespace fireflyrun::cli
