#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cli/log_record.h"

namespace fireflyrun::cli {

/// Log lines of many nodes about one request and the calls made for it, in causal order.
///
/// Clocks differ between hosts, so timestamps alone don't give the order. Lines of one node keep
/// the order in which it wrote them. The target's lines of an attempt come after the caller's
/// `sent` line and before the line with which the caller ends the attempt. Timestamps order only
/// lines that these rules leave unordered.
class RequestTimeline {
 public:
  /// Collects lines whose request ID is `request_id` or `request_id` plus `.` and a suffix, which
  /// is how callers name the calls they make for a request.
  explicit RequestTimeline(std::string request_id) : request(std::move(request_id)) {}

  /// Adds a log line if it belongs to the request. Lines of one node must be added in log order.
  void Add(std::string_view line);

  bool Empty() const { return this->records.empty(); }
  /// Returns the lines in causal order.
  std::vector<const LogRecord*> CausalOrder() const;
  /// Returns the caller side's final line of the call `id`, logged by the node where the call
  /// arrived; null if there is none.
  const LogRecord* FindFinalRecord(std::string_view id) const;
  /// Returns the chain of final lines that explains a failed request: its own, then that of the
  /// direct child call that failed last, and so on down the call tree.
  std::vector<const LogRecord*> FindCauses() const;

 private:
  /// For each line, the indexes of lines that must come after it.
  using Followers = std::vector<std::vector<std::size_t>>;

  bool IsRelated(std::string_view id) const;
  Followers FindFollowers() const;
  void LinkCall(const std::vector<std::size_t>& caller_lines,
                const std::vector<std::size_t>& target_lines, Followers* followers) const;
  std::string_view Get(std::size_t index, std::string_view name) const {
    return this->records[index].Get(name);
  }

  std::string request;
  std::vector<LogRecord> records;
};

}  // namespace fireflyrun::cli
