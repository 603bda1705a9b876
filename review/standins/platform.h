// Stand-ins for the platform of ../given/kit/more/system: its metadata store, upstreams with their
// heartbeats, and machines that run the node with the settings of the template. As the pages say,
// and sound where they are silent.
#pragma once

#include <dirent.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "http.h"

namespace review {

using Json = nlohmann::json;
using Seconds = std::chrono::duration<double>;

inline Clock::time_point Start() {
  static const Clock::time_point start = Clock::now();
  return start;
}
inline double Now() { return Seconds(Clock::now() - Start()).count(); }
inline void Sleep(double seconds) { std::this_thread::sleep_for(Seconds(seconds)); }

/// record.txt, with the seconds since the start before each line.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file.open(path); }
  void Line(const std::string& text, bool shown = false) {
    const std::lock_guard<std::mutex> lock(mutex);
    char time[32];
    snprintf(time, sizeof time, "%8.3f ", Now());
    file << time << text << std::endl;
    if (shown) std::cout << time << text << std::endl;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
};
inline void Log(const std::string& text) { Record::Get().Line(text); }
inline void Say(const std::string& text) { Record::Get().Line(text, true); }

inline std::string EncodeBase64(const std::string& text) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned bits = 0;
    const std::size_t size = std::min<std::size_t>(3, text.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      bits = bits << 8 | (j < size ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) out += j <= size ? kDigits[bits >> (18 - 6 * j) & 63] : '=';
  }
  return out;
}

inline std::string DecodeBase64(const std::string& text) {
  std::string out;
  unsigned bits = 0;
  int held = 0;
  for (const char c : text) {
    int value = -1;
    if (c >= 'A' && c <= 'Z') value = c - 'A';
    if (c >= 'a' && c <= 'z') value = c - 'a' + 26;
    if (c >= '0' && c <= '9') value = c - '0' + 52;
    if (c == '+') value = 62;
    if (c == '/') value = 63;
    if (value < 0) continue;
    bits = bits << 6 | static_cast<unsigned>(value);
    held += 6;
    if (held >= 8) {
      held -= 8;
      out += static_cast<char>(bits >> held & 0xFF);
    }
  }
  return out;
}

inline std::string Parameter(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (part.rfind(name + "=", 0) == 0) {
      std::string value;
      for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
        if (part[i] == '%' && i + 2 < part.size()) {
          value += static_cast<char>(strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          value += part[i];
        }
      }
      return value;
    }
    at = end;
  }
  return "";
}

/// The platform's metadata store (PROTOCOL.md).
class Store {
 public:
  explicit Store(const std::string& ip)
      : address_ip(ip), server(ip, 0, [this](int file, const Message& request) {
          return OnRequest(file, request);
        }) {}

  std::string Address() const { return address_ip + ":" + std::to_string(server.Port()); }

  /// "busy": every call is answered 503, waiting watches are cut, and leases pause.
  void SetDown() {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      down = true;
      down_since = Clock::now();
    }
    server.ResetAll();
  }
  void SetUp() {
    const std::lock_guard<std::mutex> lock(mutex);
    for (auto& [id, lease] : leases) lease.expiry += Clock::now() - down_since;
    down = false;
  }

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex);
    ++revision;
    Write(key, value, 0);
  }
  std::vector<std::string> Keys() {
    const std::lock_guard<std::mutex> lock(mutex);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items) keys.push_back(key);
    return keys;
  }

 private:
  struct Item {
    std::string value;
    long rev = 0;
    long created = 0;
    long lease = 0;
  };
  struct Lease {
    double ttl = 0;
    Clock::time_point expiry;
  };

  static Json Encode(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", EncodeBase64(item.value)},
            {"rev", item.rev},
            {"created", item.created},
            {"lease", item.lease}};
  }
  void Write(const std::string& key, const std::string& value, long lease) {
    Item& item = items[key];
    if (item.created == 0) item.created = revision;
    item.value = value;
    item.rev = revision;
    item.lease = lease;
    events.push_back(Encode(key, item));
  }
  void Erase(const std::string& key) {
    if (items.erase(key) == 0) return;
    events.push_back({{"key", key}, {"rev", revision}, {"tombstone", true}});
  }
  bool EndLease(long id) {
    if (leases.erase(id) == 0) return false;
    ++revision;
    std::vector<std::string> keys;
    for (const auto& [key, item] : items) {
      if (item.lease == id) keys.push_back(key);
    }
    for (const std::string& key : keys) Erase(key);
    return true;
  }
  void ExpireLeases() {
    if (down) return;
    for (const auto& [id, lease] : std::map<long, Lease>(leases)) {
      if (lease.expiry <= Clock::now()) EndLease(id);
    }
  }
  Json EventsAfter(const std::string& prefix, long after) const {
    Json list = Json::array();
    for (const Json& event : events) {
      const std::string key = event["key"];
      if (key.rfind(prefix, 0) == 0 && event["rev"].get<long>() > after) list.push_back(event);
    }
    return list;
  }

  bool OnRequest(int file, const Message& request) {
    std::this_thread::sleep_for(Milliseconds(4));
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/kv-watch") return Watch(file, request);
    std::pair<int, Json> answer;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      ExpireLeases();
      answer = down ? std::pair<int, Json>{503, Json::object()} : Perform(path, request);
    }
    return SendAll(file, ResponseText(answer.first, "Content-Type: application/json\r\n",
                                      answer.second.dump()));
  }

  bool Watch(int file, const Message& request) {
    const std::string prefix = Parameter(request.target, "prefix");
    const long after = atol(Parameter(request.target, "after").c_str());
    const auto end = Clock::now() + Milliseconds(atol(Parameter(request.target, "waitMs").c_str()));
    for (;;) {
      {
        const std::lock_guard<std::mutex> lock(mutex);
        if (down) return SendAll(file, ResponseText(503, "", "{}"));
        ExpireLeases();
        Json list = EventsAfter(prefix, after);
        if (!list.empty() || Clock::now() >= end) {
          const Json body = {{"events", list}, {"asOf", revision}};
          return SendAll(file,
                         ResponseText(200, "Content-Type: application/json\r\n", body.dump()));
        }
      }
      char byte = 0;
      if (recv(file, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) return false;
      std::this_thread::sleep_for(Milliseconds(5));
    }
  }

  std::pair<int, Json> Perform(const std::string& path, const Message& request) {
    if (path == "/kv-range") {
      const std::string prefix = Parameter(request.target, "prefix");
      const std::string after = Parameter(request.target, "after");
      Json list = Json::array();
      for (const auto& [key, item] : items) {
        if (key.rfind(prefix, 0) == 0 && key > after) list.push_back(Encode(key, item));
      }
      return {200, {{"items", list}, {"hasMore", false}, {"asOf", revision}}};
    }
    if (path == "/kv-key") {
      const auto found = items.find(Parameter(request.target, "key"));
      if (found == items.end()) return {404, Json::object()};
      Json item = Encode(found->first, found->second);
      item["asOf"] = revision;
      return {200, item};
    }
    if (path == "/kv-txn") return Transact(Json::parse(request.body));
    if (path == "/kv-lease") {
      const double ttl = Json::parse(request.body)["ttlS"];
      leases[++last_lease] = {
          ttl, Clock::now() + std::chrono::duration_cast<Clock::duration>(Seconds(ttl))};
      return {200, {{"lease", last_lease}, {"ttlS", ttl}}};
    }
    const long id = atol(path.substr(path.rfind('/') + 1).c_str());
    if (path.rfind("/kv-keep/", 0) == 0) {
      const auto found = leases.find(id);
      if (found == leases.end()) return {404, Json::object()};
      found->second.expiry =
          Clock::now() + std::chrono::duration_cast<Clock::duration>(Seconds(found->second.ttl));
      return {200, {{"ttlS", found->second.ttl}}};
    }
    if (path.rfind("/kv-lease-end/", 0) == 0) {
      return {EndLease(id) ? 200 : 404, Json::object()};
    }
    return {404, Json::object()};
  }

  std::pair<int, Json> Transact(const Json& request) {
    bool holds = true;
    Json standing = Json::array();
    for (const Json& row : request["expected"]) {
      const auto found = items.find(row["key"].get<std::string>());
      const bool there = found != items.end();
      if (there) standing.push_back(Encode(found->first, found->second));
      holds = holds && row["rev"].get<long>() == (there ? found->second.rev : 0);
    }
    if (!holds) return {412, {{"items", standing}}};
    for (const Json& write : request["writes"]) {
      const long lease = write.value("lease", 0L);
      if (lease != 0 && leases.count(lease) == 0) return {404, Json::object()};
    }
    ++revision;
    for (const Json& write : request["writes"]) {
      Write(write["key"], DecodeBase64(write["value"]), write.value("lease", 0L));
    }
    for (const Json& key : request["deletes"]) Erase(key);
    return {200, {{"rev", revision}}};
  }

  std::string address_ip;
  std::mutex mutex;
  bool down = false;
  Clock::time_point down_since;
  long revision = 100;
  long last_lease = 7000;
  std::map<std::string, Item> items;
  std::map<long, Lease> leases;
  std::vector<Json> events;
  Server server;
};

/// A request of a client, as PROTOCOL.md writes it.
inline std::string RequestText(const std::string& method, const std::string& path,
                               const std::string& id, int deadline_ms, const std::string& body,
                               const std::string& more = "") {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
                     "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + more;
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// One run of a request at an upstream.
struct Run {
  std::string upstream;
  std::string service;
  std::string id;
  std::string method;
  std::string target;
  std::size_t body_bytes = 0;
  double at = 0;
};

/// All runs of a deployment, by request id.
class Runs {
 public:
  /// The caller's side closed the connection while the upstream was at work.
  void AddBroken(const std::string& id) {
    Log("broken off " + id + " while its upstream was at work");
    const std::lock_guard<std::mutex> lock(mutex);
    broken.insert(id);
  }
  bool Broken(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex);
    return broken.count(id) > 0;
  }
  void Add(Run run) {
    Log("run " + run.id + " at " + run.upstream + " " + run.method + " " + run.target);
    const std::lock_guard<std::mutex> lock(mutex);
    list.push_back(std::move(run));
  }
  std::vector<Run> Of(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex);
    std::vector<Run> found;
    for (const Run& run : list) {
      if (run.id == id) found.push_back(run);
    }
    return found;
  }

 private:
  std::mutex mutex;
  std::vector<Run> list;
  std::set<std::string> broken;
};

/// An application upstream on a machine.
class Upstream {
 public:
  struct Options {
    std::string ip;
    std::string service;
    std::string id;
    std::string zone;
    int slots = 40;
    double work_s = 0.02;
    std::string call;  ///< The path of a call that each run makes; none if empty.
    /// What a run does in place of working for `work_s` and making `call`; returns the status, 0
    /// for a connection that ended meanwhile.
    std::function<int(Upstream& self, int file, const Message& request)> work;
  };

  Upstream(Options used, Runs& all_runs)
      : options(std::move(used)),
        runs(all_runs),
        born(std::chrono::duration_cast<Milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
        server(options.ip, 0,
               [this](int file, const Message& request) { return OnRequest(file, request); }) {}
  ~Upstream() { StopBeats(); }

  std::string Address() const { return options.ip + ":" + std::to_string(server.Port()); }
  const std::string& Id() const { return options.id; }

  void StartBeats(int control_port, int outbound_port) {
    control = control_port;
    outbound = outbound_port;
    beats = std::thread([this] {
      while (!stopped) {
        Beat();
        for (int i = 0; i < 150 && !stopped; ++i) Sleep(0.01);
      }
    });
  }
  void StopBeats() {
    stopped = true;
    if (beats.joinable()) beats.join();
  }
  int Beat() {
    const Json body = {{"service", options.service},
                       {"address", Address()},
                       {"zone", options.zone},
                       {"version", "v1"},
                       {"slots", options.slots},
                       {"state", draining ? "leaving" : "serving"},
                       {"cold_left", 0},
                       {"seq", ++seq},
                       {"born", born}};
    return Post("PUT", body.dump());
  }
  int Post(const std::string& method, const std::string& body) {
    const std::string text =
        method + " /target?id=" + options.id + " HTTP/1.1\r\nHost: " + options.ip +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\nConnection: close\r\n\r\n" + body;
    return Call(options.ip, control, text, Milliseconds(1000)).status;
  }

  /// Works for some time; false, and noted, if the connection ends meanwhile: then the request is
  /// dropped.
  bool WorkFor(double seconds, int file, const Message& request) {
    const double end = Now() + seconds;
    while (Now() < end) {
      pollfd state{file, POLLRDHUP, 0};
      if (poll(&state, 1, static_cast<int>(std::min(0.02, end - Now()) * 1000) + 1) > 0) {
        runs.AddBroken(request.Header("Request-Id"));
        return false;
      }
    }
    return true;
  }
  /// A call that this upstream makes through its own machine's node while it runs `request`; ids of
  /// calls extend that of the request, as they do on the bench's days.
  Outcome MakeCall(const std::string& path, const Message& request, int left_ms) {
    const std::string id = request.Header("Request-Id") + ".1";
    const Outcome outcome = Call(options.ip, outbound, RequestText("GET", path, id, left_ms, ""),
                                 Milliseconds(left_ms));
    Log("call " + id + " " + path + " gets " + std::to_string(outcome.status) + " " +
        (outcome.answer.Header("Response-Seal").empty() ? outcome.answer.body : "with a seal"));
    return outcome;
  }

  std::atomic<bool> draining{false};

 private:
  int Work(int file, const Message& request) {
    if (!WorkFor(options.work_s, file, request)) return 0;
    if (options.call.empty()) return 200;
    const int left = std::max(1, atoi(request.Header("Deadline-Ms").c_str()));
    return MakeCall(options.call, request, left).status == 200 ? 200 : 500;
  }

  bool OnRequest(int file, const Message& request) {
    const std::string id = request.Header("Request-Id");
    if (request.target == "/healthz") {
      return SendAll(file,
                     ResponseText(draining ? 503 : 200, "Instance-Id: " + options.id + "\r\n", ""));
    }
    const std::string expected = request.Header("Expect-Instance");
    if (!expected.empty() && expected != options.id) {
      return SendAll(file, ResponseText(421,
                                        "Request-Id: " + id + "\r\nInstance-Id: " + options.id +
                                            "\r\nNot-Executed: 1\r\n",
                                        ""));
    }
    runs.Add({options.id, options.service, id, request.method, request.target, request.body.size(),
              Now()});
    const int status = options.work ? options.work(*this, file, request) : Work(file, request);
    if (status == 0) return false;
    const std::string headers = "Request-Id: " + id + "\r\nResponse-Seal: seal." + options.id +
                                "." + id + "\r\nKeep-Alive: timeout=10\r\n";
    return SendAll(file, ResponseText(status, headers, options.service + " " + id + "\n"));
  }

  Options options;
  Runs& runs;
  long born;
  int control = 0;
  std::atomic<int> outbound{0};
  std::atomic<long> seq{0};
  std::atomic<bool> stopped{false};
  Server server;
  std::thread beats;
};

/// A free port of an address.
inline int FreePort(const std::string& ip) {
  const int file = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = SocketAddress(ip, 0);
  socklen_t size = sizeof address;
  const bool good = bind(file, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                    getsockname(file, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  close(file);
  if (!good) throw std::runtime_error("no free port on " + ip);
  return ntohs(address.sin_port);
}

/// One `sidecar` machine: the node and the upstream beside it.
class Machine {
 public:
  struct Options {
    std::string node;
    std::string region;
    std::string zone;
    std::string ip;
    std::string service;
    std::string call;  ///< The path of a call that each run of the upstream makes.
    double grace_s = 6;
    double work_s = 0.02;
    std::function<int(Upstream& self, int file, const Message& request)> work;
  };

  Machine(Options used, const std::string& store, const std::string& work_folder, Runs& runs)
      : options(std::move(used)),
        folder(work_folder),
        store_address(store),
        upstream(std::make_unique<Upstream>(
            Upstream::Options{options.ip, options.service, "i-" + options.node, options.zone, 40,
                              options.work_s, options.call, options.work},
            runs)) {
    for (int* port : {&outbound, &control, &ready, &peer, &gossip}) *port = FreePort(options.ip);
  }
  ~Machine() { Signal(SIGKILL); }

  const std::string& Name() const { return options.node; }
  const std::string& Service() const { return options.service; }
  const std::string& Ip() const { return options.ip; }
  Upstream& App() { return *upstream; }
  int Outbound() const { return outbound; }
  int Control() const { return control; }
  pid_t Pid() const { return pid; }

  void StartUpstream() { upstream->StartBeats(control, outbound); }

  /// Runs the command of deploy/system.toml with the template's settings.
  void StartNode() {
    const std::string settings = folder + "/" + options.node + ".settings";
    const std::string fresh = settings + ".new";
    std::ofstream(fresh) << Render();
    rename(fresh.c_str(), settings.c_str());
    const std::string output = folder + "/" + options.node + ".log";
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      const std::string boot = "FIREFLYRUN_BOOT=" + settings;
      char* environment[] = {const_cast<char*>("PATH=/usr/bin:/bin"),
                             const_cast<char*>(boot.c_str()), nullptr};
      const char* run = "target/build/src/cli/fireflyrun";
      char* arguments[] = {const_cast<char*>(run), const_cast<char*>("node"), nullptr};
      execve(run, arguments, environment);
      _exit(127);
    }
    Log("start " + options.node);
  }
  /// Sends a signal to the node; SIGKILL also waits for its end.
  void Signal(int signal) {
    if (pid <= 0) return;
    kill(pid, signal);
    if (signal != SIGKILL) return;
    waitpid(pid, nullptr, 0);
    pid = 0;
  }
  bool Ended() {
    if (pid <= 0) return true;
    if (waitpid(pid, nullptr, WNOHANG) != pid) return false;
    pid = 0;
    return true;
  }
  bool Ready() const {
    const std::string text = "GET /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    return Call(options.ip, ready, text, Milliseconds(1000)).status == 200;
  }

 private:
  std::string Render() const {
    std::ifstream file("platform/settings.template");
    std::stringstream text;
    text << file.rdbuf();
    std::string rendered = text.str();
    const std::map<std::string, std::string> values = {
        {"node", options.node},
        {"region", options.region},
        {"zone", options.zone},
        {"ip", options.ip},
        {"listen.outbound", options.ip + ":" + std::to_string(outbound)},
        {"listen.control", options.ip + ":" + std::to_string(control)},
        {"listen.readyAddr", options.ip + ":" + std::to_string(ready)},
        {"portRange.0", std::to_string(peer)},
        {"portRange.1", std::to_string(gossip)},
        {"platform.address", store_address},
        {"service", options.service},
        {"appAddr", upstream->Address()},
        {"bounds.graceS", std::to_string(options.grace_s)},
        {"bounds.budgetRatio", "0.2"},
        {"bounds.budgetWindowS", "10"},
        {"bounds.budgetExtra", "48"}};
    for (const auto& [name, value] : values) {
      const std::string place = "{{" + name + "}}";
      for (auto at = rendered.find(place); at != std::string::npos; at = rendered.find(place)) {
        rendered.replace(at, place.size(), value);
      }
    }
    if (rendered.empty() || rendered.find("{{") != std::string::npos) {
      throw std::runtime_error("cannot fill in platform/settings.template");
    }
    return rendered;
  }

  Options options;
  std::string folder;
  std::string store_address;
  std::unique_ptr<Upstream> upstream;
  int outbound = 0, control = 0, ready = 0, peer = 0, gossip = 0;
  pid_t pid = 0;
};

/// A prefix of loopback addresses of this run's own: 127.A.B.
inline std::string AddressPrefix() {
  const int id = getpid();
  return "127." + std::to_string(1 + id / 250 % 250) + "." + std::to_string(id % 250) + ".";
}

inline std::string MakeFolder() {
  const char* base = getenv("TMPDIR");
  std::string name = std::string(base ? base : "/tmp") + "/fireflyrun-review-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot make a folder");
  return name;
}

inline Json RouteOf(const std::string& prefix, const std::string& kind, const std::string& service,
                    double timeout_s) {
  return {{"host", "shop.example"}, {"prefix", prefix}, {"kind", kind},
          {"service", service},     {"maxAttempts", 2}, {"timeoutS", timeout_s},
          {"targetLatencyS", 1.5},  {"priority", 1}};
}

inline Json ConfigurationOf(int version, const Json& routes,
                            const std::vector<std::string>& services) {
  Json all = Json::object();
  for (const std::string& service : services) {
    all[service] = {
        {"healthPath", "/healthz"}, {"maxConns", 250}, {"protocol", "h1"}, {"tls", false}};
  }
  return {{"version", version},
          {"routes", routes},
          {"services", all},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeoutS", 3},
            {"idleTimeoutS", 15}}}};
}

inline bool Trouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Waits until all machines are ready; false after `limit` seconds.
inline bool WaitReady(std::vector<std::unique_ptr<Machine>>& machines, double limit) {
  const double end = Now() + limit;
  for (auto& machine : machines) {
    while (!machine->Ready()) {
      if (Now() > end || machine->Ended()) return false;
      Sleep(0.1);
    }
  }
  return true;
}

inline void RemoveFolder(const std::string& folder) {
  if (getenv("KEEP") != nullptr) {
    std::cout << "logs in " << folder << std::endl;
    return;
  }
  if (DIR* all = opendir(folder.c_str())) {
    while (const dirent* entry = readdir(all)) unlink((folder + "/" + entry->d_name).c_str());
    closedir(all);
  }
  rmdir(folder.c_str());
}

/// Runs a case: 0 held, 1 broken, 2 could not run.
inline int RunCase(const std::string& record, const std::function<int(const std::string&)>& run) {
  signal(SIGPIPE, SIG_IGN);
  Start();
  Record::Get().Open(record);
  const std::string folder = MakeFolder();
  int result = 2;
  try {
    result = run(folder);
  } catch (const std::exception& error) {
    Say(std::string("cannot run: ") + error.what());
  }
  RemoveFolder(folder);
  return result;
}

}  // namespace review
