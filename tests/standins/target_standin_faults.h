#pragma once

#include <string>

namespace fireflyrun::standins {

/// Faults that `POST /fault` sets; a field that is not given keeps its value.
struct TargetFaults {
  double slow_factor = 1;        ///< Multiplies the service time.
  bool fail = false;             ///< Runs end with status 500.
  bool hang = false;             ///< Runs begin and never end, until the caller leaves.
  bool ignore_close = false;     ///< Runs go on when the caller closes the connection.
  bool close_kept = false;       ///< A request on a reused connection gets it closed, unrun.
  int reject_every = 0;          ///< One request in so many is rejected unrun, if not 0.
  std::string health = "truth";  ///< What `GET /health` says: "truth", "up" or "down".
};

}  // namespace fireflyrun::standins
