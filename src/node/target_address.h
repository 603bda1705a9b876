#pragma once

#include <cstdint>
#include <string>

namespace fireflyrun::node {

/// The local target as it last announced itself.
struct TargetAddress {
  std::string service;
  std::string id;       ///< Of this run of the target; empty when it tells none.
  std::string address;  ///< `IP:PORT` that takes calls.
  std::uint32_t slots = 0;
};

}  // namespace fireflyrun::node
