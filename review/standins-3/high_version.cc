// Case: the operator numbers its versions by the time in nanoseconds; the second version adds a route.
// Usage: high_version FOLDER RECORD
#include "kit.h"

using namespace kit;

namespace {

constexpr double kConfigApplyS = 2.5;   ///< `configApplyS` of the site.
constexpr double kStableWindowS = 4.0;  ///< `stableWindowS` of the site.
constexpr int kRequests = 60;
/// Unix time in nanoseconds, 2026-12-07, and 7 s later.
constexpr std::int64_t kFirstVersion = 1796657791334000000;
constexpr std::int64_t kSecondVersion = 1796657798334000000;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const std::string folder = argv[1];
  Record::Get().Open(argv[2]);
  ::signal(SIGPIPE, SIG_IGN);
  const bool trouble = Trouble();

  Store store("127.0.0.1");
  const std::string prefix = "/filings/";
  Json routes = {{"r-root", Route("one.example", "/", "unsafe", "beta")}};
  store.Put("op/config", Config(kFirstVersion, routes, {"alpha", "beta"}));
  Runs runs;
  Upstream alpha(runs, "alpha", Ip(1), 0, "pied-a");
  Upstream beta(runs, "beta", Ip(2), 0, "pied-a");
  Node one("n-1", Ip(1), "pied-a", "piedmont", "alpha", alpha.server.port, store.Address(), folder);
  Node two("n-2", Ip(2), "pied-a", "piedmont", "beta", beta.server.port, store.Address(), folder);
  const std::vector<Node*> nodes = {&one, &two};
  const auto end = [&](int code) {
    for (Node* node : nodes) node->Kill();
    End(code);
  };
  for (Node* node : nodes) node->Start();
  if (!WaitReady(nodes, 20)) {
    Log("the nodes are not ready");
    end(2);
  }
  alpha.StartBeats(one);
  beta.StartBeats(two);
  Sleep(kStableWindowS + 1);

  const double written = Now();
  if (trouble) {
    routes["r-filings"] = Route("one.example", prefix, "unsafe", "alpha");
    store.Put("op/config", Config(kSecondVersion, routes, {"alpha", "beta"}));
    Log("version " + std::to_string(kSecondVersion) + " is acknowledged: it adds " + prefix +
        " to alpha");
  }
  SleepUntil(written + kConfigApplyS + 1);
  int old = 0, served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const Node& node = *nodes[static_cast<std::size_t>(i) % nodes.size()];
    const std::string id = HexId();
    const double at = Now();
    const Message answer =
        Exchange(node.ip, node.outbound,
                 RequestText("POST", "one.example", prefix + "x", id, 5000, "filing " + id), 6);
    std::string text = "request " + id + " sent " + std::to_string(at) + " to " + node.name +
                       " answered " + (answer.complete ? std::to_string(answer.status) : answer.error);
    if (trouble && answer.status == 404) ++old;
    for (const auto& run : runs.Of(id)) {
      text += "; run by " + run.service + " (" + run.instance + ")";
      if (trouble && run.service != "alpha") ++old;
      ++served;
    }
    Log(text);
    Sleep(0.02);
  }
  Log("of " + std::to_string(kRequests) + " requests, " + std::to_string(served) + " ran; " +
      std::to_string(old) + " were handled as only the older version allows");
  end(served == 0 && old == 0 ? 2 : old > 0 ? 1 : 0);
}
