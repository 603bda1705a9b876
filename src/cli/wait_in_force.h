#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fireflyrun::cli {

/// Asks the nodes at `admin_addresses`, in turn, how many nodes have `revision` in force, until
/// all reachable ones do or `timeout` has passed. Prints the count of each zone and names the
/// lagging nodes. Returns 0 when it is in force on all reachable nodes, else 1.
int WaitInForce(const std::vector<std::string>& admin_addresses, std::int64_t revision,
                std::chrono::seconds timeout);

}  // namespace fireflyrun::cli
