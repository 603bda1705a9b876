#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/id128.h"
#include "peer/call.h"
#include "peer/inbound_caller.h"
#include "peer/seen_calls.h"

namespace fireflyrun::peer {

/// The called node's table of calls: those in progress, answers retained until acknowledged, and
/// ids of earlier calls. The caller passes the current time. Retained answers are limited in bytes;
/// the oldest are dropped first.
class CallTable {
 public:
  struct QueryResult {
    pb::CallState state = pb::CALL_STATE_UNSPECIFIED;
    std::shared_ptr<const Answer> answer;  ///< Set if it must be sent on link `link_number`.
  };
  /// The answer to send and its caller; `answer` is null if the caller no longer needs it.
  struct FinishResult {
    std::shared_ptr<InboundCaller> caller;
    std::shared_ptr<const Answer> answer;
  };

  CallTable(std::size_t max_retained_bytes, std::size_t max_seen_ids);

  /// Opens a call. Returns false if the id was seen before or is voided; the call must not run
  /// then.
  bool Begin(const Id128& call_id, std::shared_ptr<InboundCaller> caller, SteadyTime deadline,
             SteadyTime now);
  /// Closes an open call and retains its answer; ignores other ids.
  FinishResult Finish(const Id128& call_id, Answer answer, SteadyTime now);
  /// Ends an open call that will not be answered; ignores other ids.
  void EndUnanswered(const Id128& call_id, SteadyTime now);
  /// Drops the retained answer of a call, if it has one.
  void DropAnswer(const Id128& call_id, SteadyTime now);
  /// Drops the retained answers of a caller that cannot query them any more.
  void DropAnswersOf(const InboundCaller& caller, SteadyTime now);
  /// Marks the open calls of the callers that are gone as orphaned, unless they were cancelled;
  /// returns those newly marked.
  std::vector<Id128> MarkOrphans(const std::function<bool(const InboundCaller& caller)>& is_gone);
  /// Records that the caller has the answer or no longer needs it.
  void Acknowledge(const Id128& call_id, SteadyTime now);
  /// Returns the state of a call; voids an id that never arrived.
  QueryResult Query(const Id128& call_id, std::uint64_t link_number, SteadyTime now);
  /// Records an id that must never run.
  void Void(const Id128& call_id, SteadyTime now);
  /// Drops retained answers that their callers can no longer query.
  void DropExpired(SteadyTime now);

  bool IsOpen(const Id128& call_id) const;
  std::size_t OpenCalls() const { return this->records.size() - this->retained.size(); }
  std::size_t RetainedAnswers() const { return this->retained.size(); }
  std::size_t RetainedBytes() const { return this->retained_bytes; }

 private:
  struct Record {
    std::shared_ptr<InboundCaller> caller;
    SteadyTime needed_until;
    bool answer_needed = true;
    bool orphaned = false;
    std::shared_ptr<const Answer> answer;  ///< Null while the call is in progress.
    std::size_t answer_bytes = 0;
    std::uint64_t sent_on = 0;  ///< Number of the link on which the answer was last sent.
    /// Position in `retained`; valid if `answer` is set.
    std::list<Id128>::iterator retained_position;
  };
  using Records = std::unordered_map<Id128, Record>;

  void Forget(Records::iterator record, SeenCallState state, SteadyTime now);
  void EnforceByteLimit(SteadyTime now);

  std::size_t max_bytes;
  Records records;
  std::list<Id128> retained;  ///< Oldest first.
  std::size_t retained_bytes = 0;
  SeenCalls seen;
};

}  // namespace fireflyrun::peer
