#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::membership {

/// The state of a node's own target, as the node announces it.
enum class TargetState {
  kAbsent,  ///< No target has announced itself, or its announcements stopped.
  kServing,
  kLeaving,  ///< Accepts no new calls; finishes those in progress.
};

inline constexpr EnumNames kTargetStateNames(std::array{
    std::pair{TargetState::kAbsent, std::string_view("absent")},
    std::pair{TargetState::kServing, std::string_view("serving")},
    std::pair{TargetState::kLeaving, std::string_view("leaving")},
});

/// The entry that one incarnation of a node publishes about itself. Only that incarnation raises
/// `version` and `generation`; of two entries the one with the higher (generation, incarnation,
/// version) is current.
struct Member {
  std::string node;
  /// 0, unless the node learned of an earlier run with a higher incarnation, as after a step back
  /// of the host's clock. An ended run's entry would stay current otherwise.
  std::uint32_t generation = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  std::string region;
  std::string zone;
  std::string ip;
  std::uint16_t caller_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t control_port = 0;
  std::uint16_t admin_port = 0;
  std::string service;  ///< Empty while the target is absent.
  std::uint32_t slots = 0;
  TargetState target_state = TargetState::kAbsent;
  std::uint32_t ticket_window = 0;
  bool stopped = false;  ///< The node has left the fleet permanently.
};

}  // namespace fireflyrun::membership
