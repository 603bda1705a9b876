#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/log_level.h"
#include "node/store_protocol.h"
#include "node/wire_names.h"

namespace fireflyrun::node {

/// The settings of a node. The defaults match the settings table.
struct NodeSettings {
  std::string cluster = "default";
  std::string node;
  std::string region;
  std::string zone;
  std::string address = "127.0.0.1";
  std::string advertised_address;  ///< Empty: same as `address`.
  std::uint16_t caller_port = 7400;
  std::uint16_t admin_port = 7401;
  std::uint16_t peer_port = 7402;
  std::uint16_t control_port = 7403;
  std::uint16_t health_port = 0;  ///< 0: health is served on the admin port only.
  std::vector<std::string> store_endpoints;
  StoreProtocol store_protocol = StoreProtocol::kEtcd;
  std::vector<std::string> seeds;
  LogLevel log_level = LogLevel::kInfo;
  std::uint32_t log_lines = 200;   ///< Maximum log lines per second.
  std::uint16_t metrics_port = 0;  ///< 0: metrics are served on the admin port only.
  std::size_t max_body_bytes = std::size_t{8} << 20;
  std::size_t memory_limit = std::size_t{256} << 20;  ///< Bytes that the process may have.
  std::size_t max_connections = 700;
  Duration announcement_limit = std::chrono::seconds(5);
  Duration stop_limit = std::chrono::seconds(60);
  Duration stop_notice = Duration::zero();  ///< Time in which callers leave a stopping node.
  Duration stop_grace = Duration::zero();  ///< Time from the stop to a kill; zero: no kill follows.
  std::uint32_t link_bytes_per_second = 2'000;
  Duration queue_target = std::chrono::milliseconds(20);  ///< See policy/admission_options.h.
  /// Limits of all nodes' retries at one service, see policy::FleetRetryBound.
  double retry_ratio = 0.2;
  Duration retry_window = Duration::zero();
  double retry_extra = 0;
  int retry_levels = 5;
  bool decisions_off = false;
  WireNames wire;
  std::string target_service;  ///< Service of this host's target; empty: as announced.
  /// What calls tell of the service that they come from; empty: its record's name.
  std::string caller_service;
  std::string target_address;  ///< Its only allowed IP:PORT; empty: any.
};

}  // namespace fireflyrun::node
