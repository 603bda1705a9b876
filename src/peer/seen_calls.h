#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "common/clock.h"
#include "common/id128.h"

namespace fireflyrun::peer {

/// Why a call id must not be run (again).
enum class SeenCallState {
  kForgotten,     ///< It ran; its answer is no longer held.
  kAcknowledged,  ///< It ran, and its caller wants nothing more.
  kVoided,        ///< It never arrived and never will run.
};

/// Call ids whose records are gone, in two generations: when the newer one is full or old, it takes
/// the place of the older one. Bounded in number; what is lost to the bound before its time is not
/// denied: until then CertainlyNew() is false.
class SeenCalls {
 public:
  explicit SeenCalls(std::size_t generation_limit);

  /// `needed_until`: when the caller can ask for this id no longer.
  void Remember(const Id128& call_id, SeenCallState state, SteadyTime needed_until, SteadyTime now);
  std::optional<SeenCallState> Find(const Id128& call_id) const;
  /// True when an id that Find() does not know has never been here.
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
