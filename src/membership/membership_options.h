#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "common/clock.h"
#include "membership/member.h"

namespace fireflyrun::membership {

/// Periods and bounds of the control traffic. The defaults suit 2,700 nodes in 14 zones.
struct MembershipOptions {
  std::string cluster;  ///< Messages of other clusters are dropped.
  Member self;          ///< `version` may be 0.

  std::size_t fanout = 4;      ///< Peers of the zone to which news is pushed when first heard.
  std::size_t neighbours = 8;  ///< From which these peers are drawn; one is exchanged at a time.
  std::size_t delegates_per_zone = 2;
  Duration neighbour_period = std::chrono::seconds(20);
  Duration flush_period = std::chrono::milliseconds(20);
  Duration exchange_period = std::chrono::seconds(1);  ///< Anti-entropy.
  Duration join_period = std::chrono::milliseconds(500);

  Duration ping_period = std::chrono::seconds(1);
  Duration ack_timeout = std::chrono::milliseconds(300);
  std::size_t indirect_pings = 3;
  Duration suspicion_time = std::chrono::seconds(3);
  /// Failed tries, one a ping period, after which a zone counts as cut off.
  std::size_t zone_tries = 4;

  std::size_t max_message_bytes = std::size_t{32} * 1024;
  std::size_t bytes_per_second = std::size_t{27} * 1024;
  std::size_t burst_bytes = std::size_t{96} * 1024;
  std::size_t max_queued_bytes =
      std::size_t{1024} * 1024;  ///< Of unsent messages; beyond it news is dropped.

  Duration fleet_timeout = std::chrono::seconds(1);
};

}  // namespace fireflyrun::membership
