// A machine gets SIGTERM while its upstream serves requests that need a call each. The service that
// is called mostly takes 0.16 s, and at times 1.8 s. Counts calls that the node starts in its drain
// and breaks off, with an answer of its own, while the upstream of the call is at work.
#include "../standins/platform.h"

using namespace review;

namespace {

constexpr int kUsualRequests = 20;
constexpr int kRequests = 4;
/// From the SIGTERM to the first of them.
constexpr double kFirstRequestAt = 1.6;
constexpr double kBetweenRequestsS = 0.1;
constexpr double kUsualWorkS = 0.1;
constexpr double kLongWorkS = 2;
constexpr double kUsualCallWorkS = 0.16;
constexpr double kLongCallWorkS = 1.8;
constexpr double kGraceS = 6;
constexpr int kDeadlineMs = 6000;
constexpr double kRouteTimeoutS = 6;
/// Deadline (the parent's, less its work) and route timeout of a call are no shorter.
constexpr double kShortestTimeS = 3.5;

/// The rule with its bounds and excuses, for a call that was broken off while its upstream was at
/// work. Times are from the SIGTERM.
bool IsLost(double sent, double ended) {
  if (ended < 0 || ended > kGraceS + 1) return false;
  if (ended - sent >= kShortestTimeS) return false;
  return !(sent <= 3 && ended >= kGraceS * 5 / 6);
}

}  // namespace

int main() {
  return RunCase("review/3/record.txt", [](const std::string& folder) {
    const std::string prefix = AddressPrefix();
    Store store(prefix + "1");
    Runs runs;
    const Json routes = {{"r-orders", RouteOf("/orders/", "safe", "orders", kRouteTimeoutS)},
                         {"r-audit", RouteOf("/audit/", "safe", "audit", kRouteTimeoutS)}};
    store.Put("op/config", ConfigurationOf(7, routes, {"orders", "audit"}).dump());

    std::mutex mutex;
    std::map<std::string, Outcome> outcomes;
    std::map<std::string, double> sent_at;
    std::map<std::string, double> ended_at;
    Machine::Options orders;
    orders.node = "sidecar-pied-a-1";
    orders.region = "piedmont";
    orders.zone = "pied-a";
    orders.ip = prefix + "11";
    orders.service = "orders";
    orders.grace_s = kGraceS;
    // Works, makes the call that the request needs, and answers.
    orders.work = [&](Upstream& self, int file, const Message& request) {
      const bool is_long = request.target == "/orders/long";
      if (!self.WorkFor(is_long ? kLongWorkS : kUsualWorkS, file, request)) return 0;
      const std::string id = request.Header("Request-Id") + ".1";
      {
        const std::lock_guard<std::mutex> lock(mutex);
        sent_at[id] = Now();
      }
      const int left = std::max(1, atoi(request.Header("Deadline-Ms").c_str()));
      const Outcome outcome = self.MakeCall(is_long ? "/audit/long" : "/audit/y", request, left);
      const std::lock_guard<std::mutex> lock(mutex);
      outcomes[id] = outcome;
      ended_at[id] = Now();
      return outcome.status == 200 ? 200 : 500;
    };
    Machine::Options audit;
    audit.node = "sidecar-pied-a-2";
    audit.region = "piedmont";
    audit.zone = "pied-a";
    audit.ip = prefix + "12";
    audit.service = "audit";
    audit.work = [](Upstream& self, int file, const Message& request) {
      const bool is_long = request.target == "/audit/long";
      return self.WorkFor(is_long ? kLongCallWorkS : kUsualCallWorkS, file, request) ? 200 : 0;
    };
    std::vector<std::unique_ptr<Machine>> machines;
    machines.push_back(std::make_unique<Machine>(orders, store.Address(), folder, runs));
    machines.push_back(std::make_unique<Machine>(audit, store.Address(), folder, runs));
    for (auto& machine : machines) machine->StartNode();
    for (auto& machine : machines) machine->StartUpstream();
    if (!WaitReady(machines, 20)) throw std::runtime_error("the machines aren't ready");
    Sleep(4);

    Machine& stopped = *machines[0];
    const auto request = [&](const std::string& id, const std::string& path) {
      const Outcome outcome =
          Call(stopped.Ip(), stopped.Outbound(), RequestText("GET", path, id, kDeadlineMs, ""),
               Milliseconds(kDeadlineMs));
      Log("answer " + id + " " + std::to_string(outcome.status));
      return outcome.status == 200;
    };
    int whole = 0;
    for (int number = 0; number < kUsualRequests; ++number) {
      whole += request("u" + std::to_string(number), "/orders/x") ? 1 : 0;
    }
    Say("requests before: " + std::to_string(whole) + " of " + std::to_string(kUsualRequests));
    const double stop_at = Now();
    if (Trouble()) {
      stopped.Signal(SIGTERM);
      Say("SIGTERM to " + stopped.Name());
    }
    Sleep(kFirstRequestAt);
    std::vector<std::thread> clients;
    for (int number = 0; number < kRequests; ++number) {
      clients.emplace_back([&, number] { request("q" + std::to_string(number), "/orders/long"); });
      Sleep(kBetweenRequestsS);
    }
    for (std::thread& client : clients) client.join();
    Sleep(std::max(0.0, stop_at + kGraceS + 1 - Now()));
    if (whole == 0 || outcomes.empty()) throw std::runtime_error("no call was made");
    int broken = 0;
    int lost = 0;
    for (const auto& [id, outcome] : outcomes) {
      const bool own = outcome.status == 0 || outcome.answer.Header("Response-Seal").empty();
      const bool at_work = !runs.Of(id).empty() && runs.Broken(id);
      if (own && at_work) ++broken;
      if (own && at_work && IsLost(sent_at[id] - stop_at, ended_at[id] - stop_at)) ++lost;
      Say("call " + id + ", sent " + std::to_string(sent_at[id] - stop_at) + " s after, gets " +
          std::to_string(outcome.status) + (own ? " of the node" : " of the upstream") +
          (at_work ? "; broken off while its upstream was at work" : ""));
    }
    Say("calls broken off: " + std::to_string(broken) + " of " + std::to_string(outcomes.size()));
    // The same span is judged without the SIGTERM.
    const bool rule_broken = lost > 0;
    Say("LOST counts " + std::to_string(lost));
    Say(rule_broken ? "LOST is broken" : "LOST holds");
    return rule_broken ? 1 : 0;
  });
}
