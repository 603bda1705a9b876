#include "peer/unconfirmed_cancels.h"

namespace fireflyrun::peer {

void UnconfirmedCancels::Add(const Id128& call_id, SteadyTime deadline, SteadyTime now) {
  this->cancels[call_id] = {deadline, now};
}

void UnconfirmedCancels::Confirm(SteadyTime heartbeat_sent_at) {
  std::erase_if(this->cancels,
                [&](const auto& entry) { return entry.second.sent_at < heartbeat_sent_at; });
}

std::vector<Id128> UnconfirmedCancels::SendAgain(SteadyTime now) {
  this->DropExpired(now);
  std::vector<Id128> ids;
  ids.reserve(this->cancels.size());
  for (auto& [call_id, cancel] : this->cancels) {
    cancel.sent_at = now;
    ids.push_back(call_id);
  }
  return ids;
}

void UnconfirmedCancels::DropExpired(SteadyTime now) {
  std::erase_if(this->cancels, [&](const auto& entry) { return entry.second.deadline <= now; });
}

}  // namespace fireflyrun::peer
