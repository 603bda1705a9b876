#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace fireflyrun::node {

/// The local target as it last announced itself.
struct TargetAddress {
  std::string service;
  std::string address;  ///< `IP:PORT` that takes calls.
  std::uint32_t slots = 0;
  std::string id = {};  ///< Of this run of the target; empty when it tells none.
  /// For how long it stays slow after its start; nullopt when it doesn't tell.
  std::optional<double> cold_seconds = {};
};

}  // namespace fireflyrun::node
