#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cli/log_record.h"

namespace fireflyrun::cli {

/// What the logs of many nodes say of one request and of the calls made for it, in causal order.
///
/// Clocks differ between hosts, so times order nothing by themselves: lines of one node stay in the
/// order in which it wrote them, what a node was sent comes after its sending, and what it answered
/// before the sender's next step. Only what that leaves open is ordered by time.
class RequestTimeline {
 public:
  /// `request` and ids that extend it by a dot and more, as callers name the calls that they make
  /// for a request.
  explicit RequestTimeline(std::string request_id) : request(std::move(request_id)) {}

  /// Takes in one line of a log, if it is about the request. Lines of one node come in their order.
  void Add(std::string_view line);

  bool Empty() const { return this->records.empty(); }
  /// The lines in causal order.
  std::vector<const LogRecord*> InOrder() const;
  /// The line that tells how the call `id` ended where it arrived; null if there is none.
  const LogRecord* EndOf(std::string_view id) const;
  /// The ends that explain the request's own: its own first, then that of the call made for it
  /// whose failure came last, and so on down.
  std::vector<const LogRecord*> Causes() const;

 private:
  /// For each line those that come after it.
  using Followers = std::vector<std::vector<std::size_t>>;

  bool IsAbout(std::string_view id) const;
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
