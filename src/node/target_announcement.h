#pragma once

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
};

/// Parses `{"service", "address": "IP:PORT", "slots": 1..10000, "state": "serving"|"leaving"}`;
/// reports everything that is wrong, with JSON pointers as places.
tl::expected<TargetAnnouncement, Findings> ParseAnnouncement(std::string_view json);

}  // namespace fireflyrun::node
