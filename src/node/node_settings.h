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

/// Everything a node is told by whoever starts it. Defaults are those of the settings table.
struct NodeSettings {
  std::string cluster = "default";
  std::string node;
  std::string region;
  std::string zone;
  std::string address = "127.0.0.1";
  std::string advertised_address;  ///< Empty: `address`.
  std::uint16_t caller_port = 7400;
  std::uint16_t admin_port = 7401;
  std::uint16_t peer_port = 7402;
  std::uint16_t control_port = 7403;
  std::uint16_t health_port = 0;  ///< 0: health is told at the admin port only.
  std::vector<std::string> store_endpoints;
  StoreProtocol store_protocol = StoreProtocol::kEtcd;
  std::vector<std::string> seeds;
  LogLevel log_level = LogLevel::kInfo;
  std::uint32_t log_lines = 200;   ///< Lines written a second at most.
  std::uint16_t metrics_port = 0;  ///< 0: metrics are told at the admin port only.
  std::size_t max_body_bytes = std::size_t{8} << 20;
  std::size_t max_connections = 700;
  Duration announcement_limit = std::chrono::seconds(5);
  Duration stop_limit = std::chrono::seconds(60);
  Duration stop_notice = Duration::zero();  ///< Callers leave a stopping node within this time.
  Duration stop_grace = Duration::zero();   ///< From a stop to the kill; zero: none comes.
  std::uint32_t link_bytes_per_second = 2'000;
  Duration queue_target = std::chrono::milliseconds(20);  ///< See policy/admission_options.h.
  /// What all nodes together may repeat at one service, see policy::FleetRetryBound.
  double retry_ratio = 0.2;
  Duration retry_window = Duration::zero();
  double retry_extra = 0;
  int retry_levels = 5;
  bool decisions_off = false;
  WireNames wire;
  std::string target_service;  ///< Of this host's target; empty: as it announces itself.
  std::string target_address;  ///< IP:PORT, where alone it may announce itself; empty: anywhere.
};

}  // namespace fireflyrun::node
