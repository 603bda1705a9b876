// The operator writes a version that moves a route to another service and splits a route between
// three services, with weights below one half. Counts requests that are still handled as only the
// version before allows, later than configApplyS after the store's acknowledgement.
#include "../standins/platform.h"

using namespace review;

namespace {

constexpr double kConfigApplyS = 2.5;
constexpr int kRequests = 60;

Json Split(const std::vector<double>& weights, const std::vector<std::string>& services) {
  Json route = RouteOf("/split/", "safe", "", 2);
  route.erase("service");
  route["weightedServices"] = Json::array();
  for (std::size_t i = 0; i < services.size(); ++i) {
    route["weightedServices"].push_back({{"service", services[i]}, {"weight", weights[i]}});
  }
  return route;
}

}  // namespace

int main() {
  return RunCase("review/4/record.txt", [](const std::string& folder) {
    const std::string prefix = AddressPrefix();
    const std::string mode = getenv("TROUBLE") ? getenv("TROUBLE") : "1";
    Store store(prefix + "1");
    Runs runs;
    const std::vector<std::string> services = {"calendar", "proclaim", "memorial"};
    Json routes = {{"r-move", RouteOf("/move/", "unsafe", "calendar", 2)},
                   {"r-split", Split({90, 10, 0}, services)}};
    store.Put("op/config", ConfigurationOf(7, routes, services).dump());
    std::vector<std::unique_ptr<Machine>> machines;
    for (const std::string& service : services) {
      Machine::Options options;
      options.node = "sidecar-pied-a-" + std::to_string(machines.size());
      options.region = "piedmont";
      options.zone = "pied-a";
      options.ip = prefix + std::to_string(10 + machines.size());
      options.service = service;
      machines.push_back(std::make_unique<Machine>(options, store.Address(), folder, runs));
    }
    for (auto& machine : machines) machine->StartNode();
    for (auto& machine : machines) machine->StartUpstream();
    if (!WaitReady(machines, 20)) throw std::runtime_error("the machines aren't ready");
    Sleep(4);

    // Gives the number of requests on /move/ that `service` ran, and no other.
    int number = 0;
    const auto count_runs = [&](const std::string& service) {
      int count = 0;
      for (int i = 0; i < kRequests; ++i) {
        const Machine& machine = *machines[static_cast<std::size_t>(i) % machines.size()];
        const std::string id = "q" + std::to_string(number++);
        const Outcome outcome =
            Call(machine.Ip(), machine.Outbound(), RequestText("POST", "/move/x", id, 2000, "{}"),
                 Milliseconds(2000));
        Log("answer " + id + " " + std::to_string(outcome.status) + " " + outcome.answer.body);
        for (const Run& run : runs.Of(id)) count += run.service == service ? 1 : 0;
      }
      return count;
    };
    const int before = count_runs("calendar");
    Say("version 7: calendar runs " + std::to_string(before) + " of " + std::to_string(kRequests));
    if (before != kRequests) throw std::runtime_error("the first version isn't in force");
    if (mode != "0") {
      routes["r-move"] = RouteOf("/move/", "unsafe", "proclaim", 2);
      const bool whole = mode == "whole";
      routes["r-split"] = Split(
          whole ? std::vector<double>{40, 35, 25} : std::vector<double>{0.4, 0.35, 0.25}, services);
      store.Put("op/config", ConfigurationOf(12, routes, services).dump());
      Say("version 12 is acknowledged: /move/ goes to proclaim; " + routes["r-split"].dump());
    }
    Sleep(kConfigApplyS + 2);
    const int after = count_runs("calendar");
    Say("4.5 s later: calendar runs " + std::to_string(after) + " of " + std::to_string(kRequests));
    Sleep(20);
    const int late = count_runs("calendar");
    Say("after 20 s more: calendar runs " + std::to_string(late) + " of " +
        std::to_string(kRequests));
    // Without the change the first version is in force, and calendar runs all.
    const int expected = mode == "0" ? kRequests : 0;
    const bool broken = after != expected || late != expected;
    Say(broken ? "CONFIG is broken" : "CONFIG holds");
    return broken ? 1 : 0;
  });
}
