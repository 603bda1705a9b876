#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "common/clock.h"
#include "common/id128.h"

namespace fireflyrun::peer {

/// Why a call must not run, or not run again.
enum class SeenCallState {
  kForgotten,     ///< The call ran; its answer is no longer retained.
  kAcknowledged,  ///< The call ran, and its caller has the answer or no longer needs it.
  kVoided,        ///< The call had not arrived when its caller queried it; it must never run.
};

/// Ids of calls that are no longer in the call table, in two generations: when the newer one is
/// full or old, it replaces the older one. The number of ids is bounded. If an id is discarded
/// while its caller may still query it, CertainlyNew() is false until that time has passed.
class SeenCalls {
 public:
  explicit SeenCalls(std::size_t generation_limit);

  /// `needed_until`: the time after which the caller no longer queries this id.
  void Remember(const Id128& call_id, SeenCallState state, SteadyTime needed_until, SteadyTime now);
  std::optional<SeenCallState> Find(const Id128& call_id) const;
  /// True if an id that Find() does not find has certainly never arrived.
  bool CertainlyNew(SteadyTime now) const { return now >= this->uncertain_until; }

 private:
  struct Generation {
    std::unordered_map<Id128, SeenCallState> states;
    SteadyTime needed_until;
    SteadyTime started_at;
  };

  void Rotate(SteadyTime now);

  std::size_t generation_size;
  Generation newer;
  Generation older;
  SteadyTime uncertain_until;
};

}  // namespace fireflyrun::peer
