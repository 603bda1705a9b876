#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "common/clock.h"
#include "membership/member.h"

namespace fireflyrun::membership {

/// Periods and limits of the control traffic. The defaults are for 2,700 nodes in 14 zones.
struct MembershipOptions {
  std::string cluster;  ///< Messages of other clusters are dropped.
  Member self;          ///< This node's initial entry; `version` may be 0.

  std::size_t fanout = 4;     ///< Neighbors to which an update is pushed when first received.
  std::size_t neighbors = 8;  ///< Size of the set from which the `fanout` peers are drawn.
  std::size_t delegates_per_zone = 2;
  Duration neighbor_period = std::chrono::seconds(20);  ///< Between replacements of one neighbor.
  Duration flush_period = std::chrono::milliseconds(20);
  Duration exchange_period = std::chrono::seconds(1);  ///< Between anti-entropy exchanges.
  Duration join_period = std::chrono::milliseconds(500);

  Duration ping_period = std::chrono::seconds(1);
  Duration ack_timeout = std::chrono::milliseconds(300);
  std::size_t indirect_pings = 3;
  Duration suspicion_time = std::chrono::seconds(3);
  /// Consecutive unanswered pings, one per ping period, after which a zone counts as cut off.
  std::size_t zone_failure_limit = 4;

  std::size_t max_message_bytes = std::size_t{32} * 1024;
  std::size_t bytes_per_second = std::size_t{27} * 1024;
  std::size_t burst_bytes = std::size_t{96} * 1024;
  std::size_t max_queued_bytes =
      std::size_t{1024} * 1024;  ///< Unsent bytes; beyond it all but urgent parts are dropped.

  Duration fleet_timeout = std::chrono::seconds(1);
};

}  // namespace fireflyrun::membership
