#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace fireflyrun::node {

/// The local target as it last announced itself.
struct TargetAddress {
  std::string service;
  std::string address;  ///< `IP:PORT` for calls.
  std::uint32_t slots = 0;
  std::string id = {};  ///< Id of this run of the target; empty when not announced.
  /// Remaining time in which it is slow after its start; nullopt when not announced.
  std::optional<double> cold_seconds = {};
};

}  // namespace fireflyrun::node
