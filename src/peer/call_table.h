#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>

#include "common/clock.h"
#include "common/id128.h"
#include "peer/call.h"
#include "peer/inbound_caller.h"
#include "peer/seen_calls.h"

namespace fireflyrun::peer {

/// The called node's memory of calls: in progress, answered and retained, or only their ids. Time
/// is passed in. Retained answers are bounded in bytes, the oldest are forgotten first.
class CallTable {
 public:
  struct QueryResult {
    pb::CallState state = pb::CALL_STATE_UNSPECIFIED;
    std::shared_ptr<const Answer> answer;  ///< Set when it must be sent on `link_number`.
  };
  /// Where a finished answer goes now; `answer` is null when nobody wants it.
  struct FinishResult {
    std::shared_ptr<InboundCaller> caller;
    std::shared_ptr<const Answer> answer;
  };

  CallTable(std::size_t max_retained_bytes, std::size_t max_seen_ids);

  /// Opens a call. False when the id was here before or is voided: then it must not run.
  bool Begin(const Id128& call_id, std::shared_ptr<InboundCaller> caller, SteadyTime deadline,
             SteadyTime now);
  /// Closes an open call and retains its answer. Does nothing for other ids.
  FinishResult Finish(const Id128& call_id, Answer answer, SteadyTime now);
  /// The caller wants no answer (any more).
  void Acknowledge(const Id128& call_id, SteadyTime now);
  /// Tells the state of a call; voids an id that was never here.
  QueryResult Query(const Id128& call_id, std::uint64_t link_number, SteadyTime now);
  /// Remembers an id that must not run.
  void Void(const Id128& call_id, SteadyTime now);
  /// Drops the answers of calls whose callers have given up.
  void DropExpired(SteadyTime now);

  bool IsOpen(const Id128& call_id) const;
  std::size_t OpenCalls() const { return this->records.size() - this->retained.size(); }
  std::size_t RetainedAnswers() const { return this->retained.size(); }
  std::size_t RetainedBytes() const { return this->retained_bytes; }

 private:
  struct Record {
    std::shared_ptr<InboundCaller> caller;
    SteadyTime needed_until;
    bool wanted = true;
    std::shared_ptr<const Answer> answer;  ///< Null while the call is in progress.
    std::size_t answer_bytes = 0;
    std::uint64_t sent_on = 0;         ///< Link number of the last link that the answer went to.
    std::list<Id128>::iterator place;  ///< In `retained`, when there is an answer.
  };
  using Records = std::unordered_map<Id128, Record>;

  void Forget(Records::iterator record, SeenCallState state, SteadyTime now);
  void EnforceBound(SteadyTime now);

  std::size_t max_bytes;
  Records records;
  std::list<Id128> retained;  ///< Oldest first.
  std::size_t retained_bytes = 0;
  SeenCalls seen;
};

}  // namespace fireflyrun::peer
