#pragma once

#include <cstdint>
#include <string>

#include "common/clock.h"

namespace fireflyrun::policy {

/// A node with a target of the requested service, according to the local membership view.
struct Candidate {
  std::string node = {};
  std::uint64_t incarnation = 0;
  std::string zone = {};
  std::string region = {};
  std::uint32_t slots = 0;
  bool reachable = true;
  bool leaving = false;
  SteadyTime first_seen = {};  ///< When this incarnation was first seen serving.
};

}  // namespace fireflyrun::policy
