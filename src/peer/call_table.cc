#include "peer/call_table.h"

#include <algorithm>
#include <utility>

#include "peer/held_bytes_of.h"

namespace fireflyrun::peer {
namespace {

/// Added to a call's deadline, which the caller measures from the time of sending.
constexpr Duration kDeadlineSlack = std::chrono::seconds(10);

}  // namespace

CallTable::CallTable(std::size_t max_retained_bytes, std::size_t max_seen_ids)
    : max_bytes(max_retained_bytes), seen(max_seen_ids / 2) {}

bool CallTable::Begin(const Id128& call_id, std::shared_ptr<InboundCaller> caller,
                      SteadyTime deadline, SteadyTime now) {
  if (this->seen.Find(call_id)) return false;
  const auto [record, added] = this->records.try_emplace(call_id);
  if (!added) return false;
  record->second.caller = std::move(caller);
  record->second.needed_until = std::max(deadline, now) + kDeadlineSlack;
  return true;
}

CallTable::FinishResult CallTable::Finish(const Id128& call_id, Answer answer, SteadyTime now) {
  const auto found = this->records.find(call_id);
  if (found == this->records.end() || found->second.answer) return {};
  Record& record = found->second;
  if (!record.answer_needed) {
    this->Forget(found, SeenCallState::kAcknowledged, now);
    return {};
  }
  record.answer_bytes = HeldBytesOf(answer);
  record.answer = std::make_shared<const Answer>(std::move(answer));
  record.sent_on = record.caller->newest_link;
  record.retained_position = this->retained.insert(this->retained.end(), call_id);
  this->retained_bytes += record.answer_bytes;
  FinishResult result{record.caller, record.answer};
  this->EnforceByteLimit(now);
  return result;
}

void CallTable::EndUnanswered(const Id128& call_id, SteadyTime now) {
  const auto found = this->records.find(call_id);
  if (found == this->records.end() || found->second.answer) return;
  const bool may_be_queried = found->second.answer_needed;
  this->Forget(found, may_be_queried ? SeenCallState::kForgotten : SeenCallState::kAcknowledged,
               now);
}

void CallTable::DropAnswer(const Id128& call_id, SteadyTime now) {
  const auto found = this->records.find(call_id);
  if (found == this->records.end() || !found->second.answer) return;
  this->Forget(found, SeenCallState::kForgotten, now);
}

void CallTable::DropAnswersOf(const InboundCaller& caller, SteadyTime now) {
  for (auto next = this->retained.begin(); next != this->retained.end();) {
    const auto record = this->records.find(*next++);
    if (record->second.caller.get() == &caller) {
      this->Forget(record, SeenCallState::kAcknowledged, now);
    }
  }
}

std::vector<Id128> CallTable::MarkOrphans(
    const std::function<bool(const InboundCaller& caller)>& is_gone) {
  std::vector<Id128> ids;
  for (auto& [call_id, record] : this->records) {
    const bool open = !record.answer && record.answer_needed && !record.orphaned;
    if (!open || !is_gone(*record.caller)) continue;
    record.orphaned = true;
    ids.push_back(call_id);
  }
  return ids;
}

void CallTable::Acknowledge(const Id128& call_id, SteadyTime now) {
  const auto found = this->records.find(call_id);
  if (found == this->records.end()) return;
  found->second.answer_needed = false;
  if (found->second.answer) this->Forget(found, SeenCallState::kAcknowledged, now);
}

CallTable::QueryResult CallTable::Query(const Id128& call_id, std::uint64_t link_number,
                                        SteadyTime now) {
  const auto found = this->records.find(call_id);
  if (found != this->records.end()) {
    Record& record = found->second;
    if (!record.answer) return {pb::CALL_STATE_IN_PROGRESS, nullptr};
    const bool sent_here = std::exchange(record.sent_on, link_number) == link_number;
    return {pb::CALL_STATE_ANSWERED, sent_here ? nullptr : record.answer};
  }
  const auto state = this->seen.Find(call_id);
  if (state == SeenCallState::kVoided) return {pb::CALL_STATE_NEVER_ARRIVED, nullptr};
  if (state || !this->seen.CertainlyNew(now)) return {pb::CALL_STATE_FORGOTTEN, nullptr};
  this->Void(call_id, now);
  return {pb::CALL_STATE_NEVER_ARRIVED, nullptr};
}

void CallTable::Void(const Id128& call_id, SteadyTime now) {
  this->seen.Remember(call_id, SeenCallState::kVoided, now + kDeadlineSlack, now);
}

void CallTable::DropExpired(SteadyTime now) {
  for (auto record = this->records.begin(); record != this->records.end();) {
    const auto current = record++;
    const bool expired = current->second.answer && current->second.needed_until <= now;
    if (expired) this->Forget(current, SeenCallState::kForgotten, now);
  }
}

bool CallTable::IsOpen(const Id128& call_id) const {
  const auto found = this->records.find(call_id);
  return found != this->records.end() && !found->second.answer;
}

void CallTable::Forget(Records::iterator record, SeenCallState state, SteadyTime now) {
  const bool may_be_queried = state == SeenCallState::kForgotten;
  const SteadyTime needed_until = may_be_queried ? record->second.needed_until : now;
  if (record->second.answer) {
    this->retained_bytes -= record->second.answer_bytes;
    this->retained.erase(record->second.retained_position);
  }
  this->seen.Remember(record->first, state, needed_until, now);
  this->records.erase(record);
}

void CallTable::EnforceByteLimit(SteadyTime now) {
  while (this->retained_bytes > this->max_bytes) {
    this->Forget(this->records.find(this->retained.front()), SeenCallState::kForgotten, now);
  }
}

}  // namespace fireflyrun::peer
