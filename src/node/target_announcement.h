#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "common/finding.h"
#include "membership/member.h"
#include "node/target_address.h"

namespace fireflyrun::node {

/// What a target says of itself with `PUT /target`.
struct TargetAnnouncement {
  TargetAddress target;
  membership::TargetState state = membership::TargetState::kServing;
  std::uint64_t born = 0;          ///< Orders the runs of a target; 0: not told.
  std::uint64_t seq = 0;           ///< Orders what one run says; 0: not told.
  bool has_state_and_seq = false;  ///< It tells both its state and its `seq`.
};

/// Parses `{"service", "address": "IP:PORT", "slots": 1..10000, "state": "serving"|"leaving"}`, of
/// which `state` may be absent, with the optional numbers `born`, `seq` and `cold_left`. `id` may
/// be empty. Reports everything that is wrong, with JSON pointers as places.
tl::expected<TargetAnnouncement, Findings> ParseAnnouncement(std::string_view id,
                                                             std::string_view json);

/// The `born` that the body of a departure may tell; 0 otherwise.
std::uint64_t ParseDepartedBorn(std::string_view json);

}  // namespace fireflyrun::node
