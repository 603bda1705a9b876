#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fireflyrun::cli {

/// Polls the nodes at `admin_addresses` until all reachable nodes have `revision` in force or
/// `timeout` has passed. Prints the count of each zone and the names of the lagging nodes. Returns
/// 0 if `revision` is in force on all reachable nodes, else 1.
int WaitInForce(const std::vector<std::string>& admin_addresses, std::int64_t revision,
                std::chrono::seconds timeout);

}  // namespace fireflyrun::cli
