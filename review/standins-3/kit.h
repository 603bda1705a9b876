// Stand-ins for the cases of review/REPORT-3.md: the platform's metadata store, upstreams with their
// heartbeats, clients, and a runner for nodes. Everything is on loopback addresses and the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();
inline double Now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void SleepUntil(double t) {
  const double left = t - Now();
  if (left > 0) std::this_thread::sleep_for(std::chrono::duration<double>(left));
}
inline void Sleep(double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); }
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// record.txt: one line for each event, with the time since the start of the case.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { this->file = std::fopen(path.c_str(), "w"); }
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::fprintf(this->file, "%8.3f %s\n", Now(), text.c_str());
    std::fflush(this->file);
  }

 private:
  std::mutex mutex;
  std::FILE* file = stderr;
};
inline void Log(const std::string& text) { Record::Get().Line(text); }

inline std::string HexId(int bytes = 8) {
  static std::mutex mutex;
  static std::mt19937_64 generator{std::random_device{}()};
  const std::lock_guard<std::mutex> lock(mutex);
  std::string text;
  for (int i = 0; i < bytes * 2; ++i) text += "0123456789abcdef"[generator() % 16];
  return text;
}

/// The n-th loopback address of this case; cases that run at once have others.
inline std::string Ip(int n) {
  const int pid = ::getpid();
  return "127." + std::to_string(10 + pid % 200) + "." + std::to_string(pid / 200 % 250) + "." +
         std::to_string(n);
}

/// Ends the case at once: threads may still wait in a stand-in.
[[noreturn]] inline void End(int code) { std::_Exit(code); }

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// A listening socket; port 0 takes a free one, which is stored in `port`.
inline int Listen(const std::string& ip, int* port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Address(ip, *port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}
inline int FreePort(const std::string& ip) {
  int port = 0;
  const int fd = Listen(ip, &port);
  if (fd >= 0) ::close(fd);
  return port;
}

/// A blocking connection with a time limit for each read.
class Conn {
 public:
  explicit Conn(int descriptor) : fd(descriptor) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Conn() { this->Close(); }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;

  static std::unique_ptr<Conn> Connect(const std::string& ip, int port,
                                       const std::string& from = "", double timeout = 1.0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!from.empty()) {
      sockaddr_in own = Address(from, 0);
      ::bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof own);
    }
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    sockaddr_in address = Address(ip, port);
    int failed = ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (failed != 0 && errno == EINPROGRESS) {
      pollfd entry{fd, POLLOUT, 0};
      int error = 0;
      socklen_t size = sizeof error;
      const bool ready = ::poll(&entry, 1, static_cast<int>(timeout * 1000)) > 0;
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      failed = ready && error == 0 ? 0 : -1;
    }
    if (failed != 0) {
      ::close(fd);
      return nullptr;
    }
    ::fcntl(fd, F_SETFL, 0);
    return std::make_unique<Conn>(fd);
  }

  bool Write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const auto n = ::send(this->fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  /// Reads more into the buffer; false at the end, an error, or after the time limit.
  bool Fill(double timeout) {
    pollfd entry{this->fd, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(timeout * 1000)) <= 0) {
      this->timed_out = true;
      return false;
    }
    char bytes[65536];
    const auto n = ::recv(this->fd, bytes, sizeof bytes, 0);
    if (n < 0) this->reset = true;
    if (n <= 0) return false;
    this->buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  void Reset() {
    const linger option{1, 0};
    ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    this->Close();
  }
  void Close() {
    if (this->fd >= 0) ::close(std::exchange(this->fd, -1));
  }

  int fd;
  std::string buffer;
  bool timed_out = false;
  bool reset = false;
};

struct Message {
  std::string first;  ///< The first line.
  std::string method, target;
  int status = 0;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  bool complete = false;
  std::string error;

  std::string Header(const std::string& name) const {
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
  }
};

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

/// Reads one message with Content-Length, chunked or, for answers, up to the end of the connection.
inline Message ReadMessage(Conn& conn, bool is_answer, double timeout, bool head_request = false) {
  Message message;
  const double end = Now() + timeout;
  const auto fill = [&] { return conn.Fill(std::max(0.0, end - Now())); };
  std::size_t head_end;
  while ((head_end = conn.buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) {
      message.error = conn.timed_out ? "timeout" : conn.buffer.empty() ? "closed" : "cut";
      return message;
    }
  }
  std::istringstream head(conn.buffer.substr(0, head_end));
  conn.buffer.erase(0, head_end + 4);
  std::getline(head, message.first);
  if (!message.first.empty() && message.first.back() == '\r') message.first.pop_back();
  std::istringstream words(message.first);
  if (is_answer) {
    std::string version;
    words >> version >> message.status;
  } else {
    words >> message.method >> message.target;
  }
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    message.headers[Lower(line.substr(0, colon))] = line.substr(value);
  }
  if (is_answer && (message.status < 200 || message.status == 204 || message.status == 304 ||
                    head_request)) {
    message.complete = true;
    return message;
  }
  if (Lower(message.Header("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t line_end;
      while ((line_end = conn.buffer.find("\r\n")) == std::string::npos) {
        if (!fill()) return message.error = "cut", message;
      }
      const std::size_t size = std::strtoul(conn.buffer.c_str(), nullptr, 16);
      conn.buffer.erase(0, line_end + 2);
      while (conn.buffer.size() < size + 2) {
        if (!fill()) return message.error = "cut", message;
      }
      message.body += conn.buffer.substr(0, size);
      conn.buffer.erase(0, size + 2);
      if (size == 0) break;
    }
    message.complete = true;
    return message;
  }
  if (!message.headers.count("content-length")) {
    if (is_answer) {
      while (fill()) {
      }
      message.body = std::exchange(conn.buffer, "");
      message.complete = !conn.reset && !conn.timed_out;
    } else {
      message.complete = true;
    }
    return message;
  }
  const std::size_t length = std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
  while (conn.buffer.size() < length) {
    if (!fill()) {
      message.error = conn.timed_out ? "timeout" : "cut";
      message.body = std::exchange(conn.buffer, "");
      return message;
    }
  }
  message.body = conn.buffer.substr(0, length);
  conn.buffer.erase(0, length);
  message.complete = true;
  return message;
}

/// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Conn&)>;
  Server(const std::string& address, int wanted_port, Serve serve)
      : ip(address), port(wanted_port), state(std::make_shared<State>()) {
    this->listener = Listen(ip, &this->port);
    if (this->listener < 0) {
      Log("cannot listen on " + ip + ":" + std::to_string(port));
      return;
    }
    this->acceptor = std::thread([listener = this->listener, serve, shared = this->state] {
      for (;;) {
        pollfd entry{listener, POLLIN, 0};
        if (::poll(&entry, 1, 50) <= 0) {
          if (shared->stopped) return;
          continue;
        }
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (shared->stopped) return;
          continue;
        }
        auto conn = std::make_shared<Conn>(fd);
        {
          const std::lock_guard<std::mutex> lock(shared->mutex);
          shared->open.push_back(conn);
        }
        std::thread([conn, serve, shared] {
          serve(*conn);
          const std::lock_guard<std::mutex> lock(shared->mutex);
          conn->Close();
        }).detach();
      }
    });
  }
  ~Server() { this->Stop(); }
  /// Closes the listener and all connections, as the end of a process does.
  void Stop() {
    if (this->listener < 0) return;
    this->state->stopped = true;
    this->acceptor.join();
    ::close(std::exchange(this->listener, -1));
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    for (const auto& conn : this->state->open) {
      if (conn->fd >= 0) ::shutdown(conn->fd, SHUT_RDWR);
    }
  }
  bool Listening() const { return this->listener >= 0; }

  std::string ip;
  int port;

 private:
  struct State {
    std::mutex mutex;
    std::vector<std::shared_ptr<Conn>> open;
    std::atomic<bool> stopped{false};
  };
  std::shared_ptr<State> state;
  int listener = -1;
  std::thread acceptor;
};

inline std::string Base64(const std::string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::size_t i = 0;
  for (; i + 2 < bytes.size(); i += 3) {
    const unsigned v = (static_cast<unsigned char>(bytes[i]) << 16) |
                       (static_cast<unsigned char>(bytes[i + 1]) << 8) |
                       static_cast<unsigned char>(bytes[i + 2]);
    out += {digits[v >> 18], digits[(v >> 12) & 63], digits[(v >> 6) & 63], digits[v & 63]};
  }
  if (i + 1 == bytes.size()) {
    const unsigned v = static_cast<unsigned char>(bytes[i]) << 16;
    out += {digits[v >> 18], digits[(v >> 12) & 63], '=', '='};
  } else if (i + 2 == bytes.size()) {
    const unsigned v = (static_cast<unsigned char>(bytes[i]) << 16) |
                       (static_cast<unsigned char>(bytes[i + 1]) << 8);
    out += {digits[v >> 18], digits[(v >> 12) & 63], digits[(v >> 6) & 63], '='};
  }
  return out;
}

inline std::string PercentDecode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

/// The platform's metadata store: one revision counter, leases, waiting watches.
class Store {
 public:
  explicit Store(const std::string& ip)
      : server(ip, 0, [this](Conn& conn) { this->Serve(conn); }) {}

  std::string Address() const { return this->server.ip + ":" + std::to_string(this->server.port); }
  /// Writes as the operator does.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Write(key, Base64(value), 0);
    this->changed.notify_all();
  }

 private:
  struct Item {
    std::string value;
    std::int64_t rev = 0, created = 0, lease = 0;
  };
  struct Lease {
    double ttl = 0, ends = 0;
  };

  void Write(const std::string& key, const std::string& value, std::int64_t lease) {
    Item& item = this->items[key];
    const std::int64_t rev = ++this->revision;
    item = {value, rev, item.created ? item.created : rev, lease};
    this->history.push_back(this->ItemOf(key, item));
  }
  void Delete(const std::string& key) {
    if (!this->items.erase(key)) return;
    this->history.push_back({{"key", key}, {"rev", ++this->revision}, {"tombstone", true}});
  }
  Json ItemOf(const std::string& key, const Item& item) const {
    return {{"key", key}, {"value", item.value}, {"rev", item.rev}, {"created", item.created},
            {"lease", item.lease}};
  }
  void ExpireLeases() {
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
      if (Now() < lease->second.ends) {
        ++lease;
        continue;
      }
      this->EndLease(lease->first);
      lease = this->leases.erase(lease);
    }
  }
  void EndLease(std::int64_t id) {
    std::vector<std::string> gone;
    for (const auto& [key, item] : this->items) {
      if (item.lease == id) gone.push_back(key);
    }
    for (const auto& key : gone) this->Delete(key);
  }

  void Serve(Conn& conn) {
    for (;;) {
      const Message request = ReadMessage(conn, false, 120);
      if (!request.complete) return;
      int status = 200;
      const Json body = this->Answer(request, &status);
      const std::string text = body.dump();
      const bool sent = conn.Write("HTTP/1.1 " + std::to_string(status) +
                                   " -\r\nContent-Type: application/json\r\nContent-Length: " +
                                   std::to_string(text.size()) + "\r\n\r\n" + text);
      if (!sent) return;
    }
  }

  Json Answer(const Message& request, int* status) {
    const auto question = request.target.find('?');
    const std::string path = request.target.substr(0, question);
    std::map<std::string, std::string> query;
    std::istringstream parts(question == std::string::npos ? ""
                                                           : request.target.substr(question + 1));
    for (std::string part; std::getline(parts, part, '&');) {
      const auto equals = part.find('=');
      query[part.substr(0, equals)] =
          equals == std::string::npos ? "" : PercentDecode(part.substr(equals + 1));
    }
    std::unique_lock<std::mutex> lock(this->mutex);
    this->ExpireLeases();
    const auto matches = [&](const std::string& key) { return key.rfind(query["prefix"], 0) == 0; };
    if (path == "/kv-key") {
      const auto found = this->items.find(query["key"]);
      if (found == this->items.end()) return *status = 404, Json::object({{"asOf", this->revision}});
      Json item = this->ItemOf(found->first, found->second);
      item["asOf"] = this->revision;
      return item;
    }
    if (path == "/kv-range") {
      Json list = Json::array();
      for (const auto& [key, item] : this->items) {
        if (matches(key) && key > query["after"]) list.push_back(this->ItemOf(key, item));
      }
      return {{"items", list}, {"hasMore", false}, {"asOf", this->revision}};
    }
    if (path == "/kv-watch") {
      const std::int64_t after = std::atoll(query["after"].c_str());
      const auto limit =
          Clock::now() + std::chrono::milliseconds(std::atoll(query["waitMs"].c_str()));
      for (;;) {
        Json events = Json::array();
        for (const Json& event : this->history) {
          if (event["rev"].get<std::int64_t>() > after && matches(event["key"]))
            events.push_back(event);
        }
        const bool over = Clock::now() >= limit;
        if (!events.empty() || over) return {{"events", events}, {"asOf", this->revision}};
        this->changed.wait_until(lock, limit);
      }
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (path == "/kv-lease") {
      const std::int64_t id = ++this->last_lease;
      const double ttl = body.value("ttlS", 30.0);
      this->leases[id] = {ttl, Now() + ttl};
      return Json::object({{"lease", id}, {"ttlS", ttl}});
    }
    if (path.rfind("/kv-keep/", 0) == 0) {
      const auto found = this->leases.find(std::atoll(path.substr(9).c_str()));
      if (found == this->leases.end()) return *status = 404, Json::object();
      found->second.ends = Now() + found->second.ttl;
      return Json::object({{"ttlS", found->second.ttl}});
    }
    if (path.rfind("/kv-lease-end/", 0) == 0) {
      const std::int64_t id = std::atoll(path.substr(14).c_str());
      if (!this->leases.erase(id)) return *status = 404, Json::object();
      this->EndLease(id);
      this->changed.notify_all();
      return Json::object();
    }
    if (path == "/kv-txn") {
      Json current = Json::array();
      bool holds = true;
      for (const Json& row : body["expected"]) {
        const std::string key = row["key"];
        const auto found = this->items.find(key);
        const std::int64_t rev = found == this->items.end() ? 0 : found->second.rev;
        holds = holds && rev == row["rev"].get<std::int64_t>();
        if (rev) current.push_back(this->ItemOf(key, found->second));
      }
      if (!holds) return *status = 412, Json::object({{"items", current}});
      for (const Json& write : body["writes"]) {
        const std::int64_t lease = write.value("lease", std::int64_t{0});
        if (lease && !this->leases.count(lease)) return *status = 404, Json::object();
        this->Write(write["key"], write["value"], lease);
      }
      for (const Json& key : body["deletes"]) this->Delete(key);
      this->changed.notify_all();
      return Json::object({{"rev", this->revision}});
    }
    *status = 404;
    return Json::object();
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Json> history;
  std::map<std::int64_t, Lease> leases;
  std::int64_t revision = 100, last_lease = 1000;
  Server server;
};

/// One host: its addresses and its node process, with settings rendered from the project's template.
class Node {
 public:
  Node(std::string node_name, std::string address, std::string zone_name, std::string region_name,
       std::string service_name, int app, std::string store_address, std::string work_folder)
      : name(std::move(node_name)),
        ip(std::move(address)),
        zone(std::move(zone_name)),
        region(std::move(region_name)),
        service(std::move(service_name)),
        app_port(app),
        folder(std::move(work_folder)) {
    this->outbound = FreePort(this->ip);
    this->control = FreePort(this->ip);
    this->ready = FreePort(this->ip);
    this->peer = FreePort(this->ip);
    this->gossip = FreePort(this->ip);
    const std::string prefix = this->ip + ":";
    const std::map<std::string, std::string> values = {
        {"node", this->name},
        {"region", this->region},
        {"zone", this->zone},
        {"ip", this->ip},
        {"listen.outbound", prefix + std::to_string(this->outbound)},
        {"listen.control", prefix + std::to_string(this->control)},
        {"listen.readyAddr", prefix + std::to_string(this->ready)},
        {"portRange.0", std::to_string(this->peer)},
        {"portRange.1", std::to_string(this->gossip)},
        {"platform.address", std::move(store_address)},
        {"service", this->service},
        {"appAddr", prefix + std::to_string(this->app_port)},
        {"bounds.graceS", "6"},
        {"bounds.budgetRatio", "0.2"},
        {"bounds.budgetWindowS", "10"},
        {"bounds.budgetExtra", "48"}};
    std::ifstream source("platform/settings.template");
    std::string text((std::istreambuf_iterator<char>(source)), {});
    for (const auto& [key, value] : values) {
      const std::string mark = "{{" + key + "}}";
      for (std::size_t at; (at = text.find(mark)) != std::string::npos;)
        text.replace(at, mark.size(), value);
    }
    this->settings = this->folder + "/" + this->name + ".conf";
    std::ofstream(this->settings) << text;
  }
  ~Node() { this->Kill(); }

  void Start() {
    const std::string log = this->folder + "/" + this->name + ".log";
    const std::string boot = "FIREFLYRUN_BOOT=" + this->settings;
    const pid_t parent = ::getpid();
    this->pid = ::fork();
    if (this->pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(1);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      const char* program = "target/build/src/cli/fireflyrun";
      char* const argv[] = {const_cast<char*>(program), const_cast<char*>("node"), nullptr};
      char* const environment[] = {const_cast<char*>(boot.c_str()),
                                   const_cast<char*>("FIREFLYRUN_MEMORY_LIMIT=260"),
                                   const_cast<char*>("LANG=C"), nullptr};
      ::execve(program, argv, environment);
      ::_exit(127);
    }
    Log("node " + this->name + " started");
  }
  void Kill() {
    if (this->pid <= 0) return;
    ::kill(this->pid, SIGKILL);
    ::waitpid(std::exchange(this->pid, 0), nullptr, 0);
    Log("node " + this->name + " killed");
  }
  /// True while the process that was started has not ended by itself.
  bool Runs(int* status = nullptr) {
    int ended = 0;
    if (this->pid <= 0) return false;
    if (::waitpid(this->pid, &ended, WNOHANG) != this->pid) return true;
    if (status) *status = ended;
    this->pid = 0;
    return false;
  }
  void Signal(int signal) const { ::kill(this->pid, signal); }
  int ReadyStatus() const;

  std::string name, ip, zone, region, service;
  int app_port, outbound = 0, control = 0, ready = 0, peer = 0, gossip = 0;
  std::string folder, settings;
  pid_t pid = 0;
};

/// One exchange on a connection of its own.
inline Message Exchange(const std::string& ip, int port, const std::string& bytes, double timeout,
                        bool head = false) {
  auto conn = Conn::Connect(ip, port);
  Message answer;
  if (!conn) return answer.error = "refused", answer;
  if (!conn->Write(bytes)) return answer.error = "closed", answer;
  answer = ReadMessage(*conn, true, timeout, head);
  while (answer.complete && answer.status < 200) answer = ReadMessage(*conn, true, timeout, head);
  return answer;
}

inline int Node::ReadyStatus() const {
  return Exchange(this->ip, this->ready, "GET /health HTTP/1.1\r\nHost: node\r\n\r\n", 1.0).status;
}

/// The text of a client's request.
inline std::string RequestText(const std::string& method, const std::string& host,
                               const std::string& path, const std::string& id, int deadline_ms,
                               const std::string& body = "", const std::string& more = "") {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id +
                     "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + more;
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// What upstreams did, by request id.
struct Runs {
  struct Run {
    double at = 0;
    std::string instance, service, method, target, body, caller_service;
  };
  std::mutex mutex;
  std::map<std::string, std::vector<Run>> runs;
  void Add(const std::string& id, Run run) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runs[id].push_back(std::move(run));
  }
  std::vector<Run> Of(const std::string& id) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->runs[id];
  }
};

/// One upstream. It runs requests at once, each for `work_s`, and says what the pages say.
class Upstream {
 public:
  struct Hooks {
    /// Answers in place of the usual answer; true if it did. The request counts as run.
    std::function<bool(Conn&, const Message&)> answer;
  };

  Upstream(Runs& shared_runs, std::string service_name, std::string address, int port,
           std::string zone_name, Hooks upstream_hooks = {})
      : runs(shared_runs),
        service(std::move(service_name)),
        zone(std::move(zone_name)),
        hooks(std::move(upstream_hooks)),
        id("i-" + HexId(4)),
        born(UnixMs()),
        server(address, port, [this](Conn& conn) { this->Serve(conn); }) {}
  ~Upstream() { this->StopBeats(); }

  std::string Address() const { return this->server.ip + ":" + std::to_string(this->server.port); }
  std::string Beat(std::int64_t number, const std::string& state) const {
    const Json body = {{"service", this->service}, {"address", this->Address()},
                       {"zone", this->zone},       {"version", "v1"},
                       {"slots", this->slots},     {"state", state},
                       {"cold_left", 0},           {"seq", number},
                       {"born", this->born}};
    return this->Call("PUT", body);
  }
  std::string Leave() const { return this->Call("DELETE", Json::object({{"born", this->born}})); }
  /// Sends one call to the node's `control`; the status of its answer.
  static int Send(const Node& node, const std::string& text) {
    return Exchange(node.ip, node.control, text, 1.0).status;
  }
  /// Heartbeats each 1.5 s until StopBeats().
  void StartBeats(const Node& node) {
    this->beating = true;
    this->beats = std::thread([this, &node] {
      double next = Now();
      while (this->beating) {
        if (Now() >= next) {
          Send(node, this->Beat(++this->seq, this->state));
          next += 1.5;
        }
        Sleep(0.02);
      }
    });
  }
  void StopBeats() {
    this->beating = false;
    if (this->beats.joinable()) this->beats.join();
  }

  Runs& runs;
  std::string service, zone;
  Hooks hooks;
  std::string id;
  std::int64_t born;
  int slots = 40;
  std::atomic<std::int64_t> seq{0};
  std::string state = "serving";
  std::atomic<bool> leaving{false};
  std::atomic<double> work_s{0.02};

 private:
  std::string Call(const std::string& method, const Json& body) const {
    const std::string text = body.dump();
    return method + " /target?id=" + this->id +
           " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text;
  }
  void Serve(Conn& conn) {
    for (;;) {
      const Message request = ReadMessage(conn, false, 60);
      if (!request.complete) return;
      if (request.target == "/healthz") {
        const std::string status = this->leaving ? "503 -" : "200 OK";
        if (!conn.Write("HTTP/1.1 " + status + "\r\nInstance-Id: " + this->id +
                        "\r\nContent-Length: 0\r\n\r\n"))
          return;
        continue;
      }
      const std::string wanted = request.Header("expect-instance");
      const std::string request_id = request.Header("request-id");
      if (!wanted.empty() && wanted != this->id) {
        if (!conn.Write("HTTP/1.1 421 -\r\nInstance-Id: " + this->id + "\r\nRequest-Id: " +
                        request_id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
          return;
        continue;
      }
      this->runs.Add(request_id, {Now(), this->id, this->service, request.method, request.target,
                                  request.body, request.Header("caller-service")});
      if (this->hooks.answer && this->hooks.answer(conn, request)) {
        if (conn.fd < 0) return;
        continue;
      }
      Sleep(this->work_s);
      const std::string body = "answer of " + this->id + " to " + request_id;
      if (!conn.Write("HTTP/1.1 200 OK\r\nRequest-Id: " + request_id + "\r\nResponse-Seal: s." +
                      request_id + "\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body))
        return;
    }
  }

  std::thread beats;
  std::atomic<bool> beating{false};

 public:
  Server server;
};

/// The configuration in the shape that deploy/wire.toml asks for.
inline std::string Config(std::int64_t version, const Json& routes, const std::vector<std::string>& services) {
  Json all = Json::object();
  for (const auto& service : services) {
    all[service] = {{"healthPath", "/healthz"}, {"maxConns", 700}, {"protocol", "h1"}, {"tls", false}};
  }
  return Json{{"version", version},
              {"routes", routes},
              {"services", all},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 67108864},
                {"headerTimeoutS", 3},
                {"idleTimeoutS", 15}}}}
      .dump();
}
inline Json Route(const std::string& host, const std::string& prefix, const std::string& kind,
                  const std::string& service, double timeout = 5, int attempts = 2) {
  return {{"host", host},         {"prefix", prefix}, {"kind", kind},
          {"timeoutS", timeout},  {"targetLatencyS", 1.5}, {"priority", 0},
          {"service", service},   {"maxAttempts", attempts}};
}

/// Waits until all nodes say that they are ready.
inline bool WaitReady(const std::vector<Node*>& nodes, double limit) {
  const double end = Now() + limit;
  for (Node* node : nodes) {
    while (node->ReadyStatus() != 200) {
      if (Now() > end) return false;
      Sleep(0.05);
    }
  }
  return true;
}

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace kit
