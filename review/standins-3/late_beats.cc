// Case: an upstream sends its leave and has it acknowledged; the node's process is killed and starts
// again; then two heartbeats that the upstream sent before its leave arrive, each some seconds late.
// Usage: late_beats FOLDER RECORD
#include "kit.h"

using namespace kit;

namespace {

constexpr double kDrainS = 2.5;         ///< `drainS` of the site.
constexpr double kStableWindowS = 4.0;  ///< `stableWindowS` of the site.
constexpr double kBeatS = 1.5;          ///< `beatIntervalS` of the site.
constexpr double kLateS = 4.5;          ///< How late the two heartbeats arrive.
constexpr double kServesOnS = 10.0;     ///< The upstream serves on so long after the acknowledgement.

struct Sent {
  double at = 0;
  double ended = 0;
  std::string result;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const std::string folder = argv[1];
  Record::Get().Open(argv[2]);
  ::signal(SIGPIPE, SIG_IGN);
  const bool trouble = Trouble();

  Store store("127.0.0.1");
  const Json routes = {{"r-one", Route("one.example", "/a/", "unsafe", "alpha")}};
  store.Put("op/config", Config(7, routes, {"alpha", "beta"}));
  Runs runs;
  Upstream leaver(runs, "alpha", Ip(1), 0, "pied-a");
  Upstream other(runs, "alpha", Ip(2), 0, "pied-a");
  Upstream third(runs, "beta", Ip(3), 0, "pied-a");
  for (Upstream* upstream : {&leaver, &other, &third}) upstream->work_s = 0.15;
  const auto node_beside = [&](const char* name, const Upstream& upstream) {
    return std::make_unique<Node>(name, upstream.server.ip, "pied-a", "piedmont", upstream.service,
                                  upstream.server.port, store.Address(), folder);
  };
  const auto gate = node_beside("n-1", leaver);
  const auto second = node_beside("n-2", other);
  const auto entry = node_beside("n-3", third);
  const std::vector<Node*> nodes = {gate.get(), second.get(), entry.get()};
  const auto end = [&](int code) {
    for (Node* node : nodes) node->Kill();
    End(code);
  };
  for (Node* node : nodes) node->Start();
  if (!WaitReady(nodes, 20)) {
    Log("the nodes are not ready");
    end(2);
  }
  other.StartBeats(*second);
  third.StartBeats(*entry);
  // Heartbeats 1 to 3 of the upstream that will leave arrive in time.
  for (int number = 1; number <= 3; ++number) {
    Upstream::Send(*gate, leaver.Beat(number, "serving"));
    Sleep(kBeatS);
  }

  std::atomic<bool> done{false};
  std::mutex mutex;
  std::map<std::string, Sent> sent;
  std::vector<std::thread> clients;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back([&] {
      while (!done) {
        const std::string id = HexId();
        Sent one;
        one.at = Now();
        const Message answer =
            Exchange(entry->ip, entry->outbound,
                     RequestText("POST", "one.example", "/a/x", id, 5000, "filing " + id), 6);
        one.ended = Now();
        one.result = answer.complete ? std::to_string(answer.status) : answer.error;
        const std::lock_guard<std::mutex> lock(mutex);
        sent[id] = one;
      }
    });
  }

  // Heartbeats 4 and 5 are sent 1.5 s apart, and are on their way when the upstream leaves.
  const double sent_4 = Now();
  Log("upstream " + leaver.id + " sends heartbeat 4, which is late");
  Sleep(kBeatS);
  const double sent_5 = Now();
  Log("upstream " + leaver.id + " sends heartbeat 5, which is late");
  Sleep(0.5);
  leaver.leaving = true;  // Its health check says 503 from now on.
  const int status = Upstream::Send(*gate, leaver.Leave());
  const double acknowledged = Now();
  Log("upstream " + leaver.id + " sends its leave; the node answers " + std::to_string(status));
  if (status / 100 != 2) end(2);

  double started = acknowledged;
  if (trouble) {
    Sleep(0.3);
    gate->Kill();
    Sleep(0.5);
    gate->Start();
    started = Now();
  }
  SleepUntil(sent_4 + kLateS);
  Log("heartbeat 4 arrives; the node answers " +
      std::to_string(Upstream::Send(*gate, leaver.Beat(4, "serving"))));
  SleepUntil(sent_5 + kLateS);
  Log("heartbeat 5 arrives; the node answers " +
      std::to_string(Upstream::Send(*gate, leaver.Beat(5, "serving"))));
  SleepUntil(acknowledged + kServesOnS);
  const double ended = Now();
  leaver.server.Stop();
  Log("upstream " + leaver.id + " ends");
  Sleep(1.5);
  done = true;
  for (auto& client : clients) client.join();

  // Requests that machines in touch took from clients and sent on, counted from the later of the
  // rule's bound and of the moment at which the restarted machine is in touch again.
  const double bound = acknowledged + kDrainS;
  const double from = std::max(bound, started + kStableWindowS);
  int all = 0, late = 0, cut = 0;
  double first = 0, last = 0;
  for (const auto& [id, one] : sent) {
    std::string text = "request " + id + " sent " + std::to_string(one.at) + " answered " +
                       one.result + " at " + std::to_string(one.ended);
    for (const auto& run : runs.Of(id)) {
      text += "; run by " + run.instance + " at " + std::to_string(run.at);
      if (run.instance != leaver.id || one.at < from) continue;
      if (late++ == 0 || run.at < first) first = run.at;
      last = std::max(last, run.at);
      if (one.result != "200") ++cut;
    }
    if (one.at >= from) ++all;
    Log(text);
  }
  Log("leave acknowledged at " + std::to_string(acknowledged) + ", bound " + std::to_string(bound) +
      ", counted from " + std::to_string(from) + ", upstream ended at " + std::to_string(ended));
  Log("of " + std::to_string(all) + " requests sent since then, " + std::to_string(late) +
      " were run by the upstream that had left; of these " + std::to_string(cut) +
      " got no success");
  if (late > 0) {
    Log("they reached it " + std::to_string(first - acknowledged) + " to " +
        std::to_string(last - acknowledged) + " s after the acknowledgement");
  }
  end(all < 50 ? 2 : late > 0 ? 1 : 0);
}
