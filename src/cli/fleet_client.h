#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "cli/fleet_report.h"
#include "common/clock.h"
#include "http/client.h"

namespace fireflyrun::cli {

/// Queries nodes for the state of the fleet. Each method blocks until it has a result.
class FleetClient {
 public:
  explicit FleetClient(std::vector<std::string> admin_addresses);
  FleetClient(const FleetClient&) = delete;
  FleetClient& operator=(const FleetClient&) = delete;

  /// Queries the node that answered last, then the others in turn. If all fail, returns the error
  /// of the last attempt.
  tl::expected<FleetReport, std::string> Fetch();

  /// Blocks for `duration`.
  void Pause(Duration duration);

 private:
  tl::expected<FleetReport, std::string> FetchFrom(const std::string& address);

  std::vector<std::string> addresses;
  std::size_t current = 0;
  asio::io_context loop{1};
  http::Client client{this->loop, 1};
};

}  // namespace fireflyrun::cli
