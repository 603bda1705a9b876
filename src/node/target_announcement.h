#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "common/finding.h"
#include "membership/member.h"
#include "node/target_address.h"

namespace fireflyrun::node {

/// A target's announcement of itself with `PUT /target`.
struct TargetAnnouncement {
  TargetAddress target;
  membership::TargetState state = membership::TargetState::kServing;
  std::uint64_t born = 0;          ///< Orders the runs of a target; 0 when not given.
  std::uint64_t seq = 0;           ///< Orders the announcements of one run; 0 when not given.
  bool has_state_and_seq = false;  ///< Both `state` and `seq` are given.
};

/// Parses `{"service", "address": "IP:PORT", "slots": 1..10000, "state": "serving"|"leaving"}`, of
/// which `state` is optional, with the optional numbers `born`, `seq` and `cold_left`. `id` may be
/// empty. Reports every problem, each with a JSON pointer to its field. `service_record_name` gives
/// the record's name of a service; if it is empty, targets call services by that name.
using ServiceRecordName = std::function<std::string(const std::string& service)>;
tl::expected<TargetAnnouncement, Findings> ParseAnnouncement(
    std::string_view id, std::string_view json, const ServiceRecordName& service_record_name = {});

/// Returns `born` from the body of a departure; 0 when the body has none.
std::uint64_t ParseDepartedBorn(std::string_view json);

}  // namespace fireflyrun::node
