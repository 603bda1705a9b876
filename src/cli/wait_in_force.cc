#include "cli/wait_in_force.h"

#include <algorithm>
#include <iostream>

#include "cli/exit_code.h"
#include "cli/fleet_client.h"

namespace fireflyrun::cli {
namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(500);

}  // namespace

int WaitInForce(const std::vector<std::string>& admin_addresses, std::int64_t revision,
                std::chrono::seconds timeout) {
  FleetClient fleet(admin_addresses);
  const SteadyTime deadline = SteadyClock::now() + timeout;
  auto report = fleet.Fetch();
  while (!report || !IsInForce(*report, revision)) {
    const Duration left = deadline - SteadyClock::now();
    if (left <= Duration::zero()) break;
    fleet.Pause(std::min(kPollPeriod, left));
    report = fleet.Fetch();
  }
  if (!report) {
    std::cerr << "No node reported which records are in force: " << report.error() << "\n";
    return kExitFailed;
  }
  const bool in_force = IsInForce(*report, revision);
  PrintFleetReport(std::cout, *report, revision);
  if (in_force) {
    std::cout << "Revision " << revision << " is in force on all reachable nodes.\n";
    return kExitDone;
  }
  std::cerr << "Revision " << revision << " is not in force on all reachable nodes after "
            << timeout.count() << " s.\n";
  return kExitFailed;
}

}  // namespace fireflyrun::cli
