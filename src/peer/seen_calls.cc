#include "peer/seen_calls.h"

#include <algorithm>
#include <utility>

namespace fireflyrun::peer {
namespace {

/// Ids are kept for at least this long, unless the limit on their number is reached earlier.
constexpr Duration kGenerationAge = std::chrono::minutes(2);

}  // namespace

SeenCalls::SeenCalls(std::size_t generation_limit) : generation_size(generation_limit) {}

void SeenCalls::Remember(const Id128& call_id, SeenCallState state, SteadyTime needed_until,
                         SteadyTime now) {
  const bool full = this->newer.states.size() >= this->generation_size;
  const bool old = now - this->newer.started_at >= kGenerationAge;
  if (full || old) this->Rotate(now);
  this->newer.states.insert_or_assign(call_id, state);
  this->newer.needed_until = std::max(this->newer.needed_until, needed_until);
}

std::optional<SeenCallState> SeenCalls::Find(const Id128& call_id) const {
  for (const Generation* generation : {&this->newer, &this->older}) {
    const auto found = generation->states.find(call_id);
    if (found != generation->states.end()) return found->second;
  }
  return std::nullopt;
}

void SeenCalls::Rotate(SteadyTime now) {
  if (!this->older.states.empty()) {
    this->uncertain_until = std::max(this->uncertain_until, this->older.needed_until);
  }
  this->older = std::exchange(this->newer, Generation{{}, SteadyTime{}, now});
}

}  // namespace fireflyrun::peer
