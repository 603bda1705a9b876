// Two upstreams write header lines without an end in place of some of their answers. The nodes
// beside them take memory for each line, and go over the memory of their machines.
#include "../standins-2/lab.h"

namespace {

using namespace lab;

constexpr double kLoadSeconds = 40;
/// The times of `garble`, from the start of the load; the site's longest lasts 6 s.
constexpr double kGarbleStarts[] = {2, 14, 26};
constexpr double kGarbleSeconds = 6;
constexpr int kMemoryMb = 260;
constexpr int kEndsOfFault = 3;
constexpr int kMachinesOfFault = 2;
/// Of the answers of a faulty upstream, 0.1; the site's largest share is 0.4.
constexpr int kOneBadAnswerIn = 10;

std::atomic<int> bad_answers = 0;
std::atomic<double> load_began = 1e9;

bool GarbleNow() {
  const double now = Now() - load_began;
  for (const double start : kGarbleStarts) {
    if (now >= start && now < start + kGarbleSeconds) return true;
  }
  return false;
}

/// Writes until the node closes the connection.
std::string WriteHeaderLines(int connection, const Message& request) {
  ++bad_answers;
  record.Line("upstream: endless header lines for %s", request.Header("Request-Id").c_str());
  std::string lines;
  while (lines.size() < 65536) lines += "a: b\r\n";
  std::size_t sent = 0;
  bool open = SendAll(connection,
                      "HTTP/1.1 200 OK\r\nRequest-Id: " + request.Header("Request-Id") + "\r\n");
  while (open && sent < (std::size_t{64} << 20)) {
    open = SendAll(connection, lines);
    sent += open ? lines.size() : 0;
  }
  record.Line("upstream: connection closed after %zu bytes", sent);
  return "";
}

}  // namespace

/// Arguments: the folder for record.txt, and the value of TROUBLE ("0": without the disruption).
int main(int, char** arguments) {
  record.Open(std::string(arguments[1]) + "/record.txt");
  const bool trouble = std::string(arguments[2]) != "0";
  record.Line("TROUBLE=%s", arguments[2]);
  Deployment deployment;
  const char* const zones[] = {"pied-a", "pied-b", "low-a", "low-b"};
  for (const char* zone : zones) {
    deployment.Add(zone, deployment.machines.size() % 2 == 0 ? "calendar" : "clerkdesk");
  }
  if (!deployment.StartAll()) deployment.Exit(2);
  const Json routes = {{"r1", Route("/cal/", "safe", "calendar", 3)},
                       {"r2", Route("/clerk/", "unsafe", "clerkdesk", 3)}};
  deployment.store.Put("op/config", Configuration(7, routes, {"calendar", "clerkdesk"}).dump());

  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (Machine& machine : deployment.machines) {
    auto upstream = std::make_unique<Upstream>();
    // One of the two upstreams of each service.
    const bool faulty = trouble && (machine.zone == "pied-b" || machine.zone == "low-a");
    upstream->on_request = [faulty, count = std::make_shared<std::atomic<int>>(0)](
                               int connection, const Message& request) -> std::string {
      if (faulty && GarbleNow() && ++*count % kOneBadAnswerIn == 0) {
        return WriteHeaderLines(connection, request);
      }
      Sleep(0.05);
      return Answer(200,
                    "Request-Id: " + request.Header("Request-Id") + "\r\nResponse-Seal: 1.2.3\r\n",
                    "done");
    };
    if (!upstream->Start(machine, "i-" + machine.name)) deployment.Exit(2);
    upstreams.push_back(std::move(upstream));
  }
  if (!deployment.WaitReady(20)) deployment.Exit(2);
  Sleep(2);

  load_began = Now();
  std::atomic<bool> stop = false;
  std::atomic<int> answered = 0, other = 0, lost = 0;
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < 8; ++i) {
    clients.emplace_back([&, i] {
      Machine& machine = deployment.machines[i % deployment.machines.size()];
      for (int n = 0; !stop; ++n) {
        const std::string id = NewId();
        const bool files = n % 2 == 0;
        const int status = Request(machine.ip, machine.outbound, files ? "POST" : "GET",
                                   files ? "/clerk/a" : "/cal/a", id, files ? "x" : "");
        status == 200 ? ++answered : status != 0 ? ++other : ++lost;
        Sleep(0.1);
      }
    });
  }

  // The platform: a process over its memory is killed, and started again after a short delay.
  std::vector<int> ends(deployment.machines.size(), 0);
  double highest = 0;
  const double end = Now() + kLoadSeconds;
  while (Now() < end) {
    Sleep(0.002);
    for (std::size_t i = 0; i < deployment.machines.size(); ++i) {
      Machine& machine = deployment.machines[i];
      const double peak = machine.Memory().peak;
      highest = std::max(highest, peak);
      const bool over = peak > kMemoryMb;
      if (over) machine.Signal(SIGKILL);
      if (over) WaitFor(2, [&] { return machine.Ended(); });
      if (!over && !machine.Ended()) continue;
      ++ends[i];
      record.Line("%s ended: peak memory %.0f MB of %d", machine.name.c_str(), peak, kMemoryMb);
      Sleep(0.5);
      machine.StartNode(deployment.store.Address());
    }
  }
  stop = true;
  for (std::thread& client : clients) client.join();

  int machines_at_fault = 0;
  for (std::size_t i = 0; i < ends.size(); ++i) {
    record.Line("%s: ended by itself %d times", deployment.machines[i].name.c_str(), ends[i]);
    if (ends[i] >= kEndsOfFault) ++machines_at_fault;
  }
  record.Line("answered 200: %d, other answers: %d, no answer: %d, bad answers: %d",
              answered.load(), other.load(), lost.load(), bad_answers.load());
  record.Line("highest memory of a node: %.0f MB", highest);
  if (answered == 0) deployment.Exit(2);
  const bool broken = machines_at_fault >= kMachinesOfFault;
  record.Line("rule Fault: %s", broken ? "broken" : "held");
  deployment.Exit(broken ? 1 : 0);
}
