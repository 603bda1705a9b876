#pragma once

#include <string>
#include <vector>

namespace fireflyrun::integration {

/// One host of a test fleet: its node, and its target unless `service` is empty.
struct HostLayout {
  std::string node;
  std::string region;
  std::string zone;
  std::string service{};
  int slots = 20;
  int service_time_ms = 2;
  std::string calls{};  ///< `service:/path,...`, made by the target for each request.
  std::vector<std::string> node_flags{};    ///< After the harness's own, so that they win.
  std::vector<std::string> target_flags{};  ///< Likewise.
};

}  // namespace fireflyrun::integration
