// Stand-ins for the cases of this review: the platform's store, upstreams, clients, and a launcher
// for the project's own nodes. Everything listens on loopback addresses only.
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

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

/// Seconds since the start of this program.
inline double Now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }

inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline bool WaitFor(double seconds, const std::function<bool()>& holds) {
  const double end = Now() + seconds;
  while (!holds()) {
    if (Now() >= end) return false;
    Sleep(0.02);
  }
  return true;
}

/// The record of a run: one line for each thing that was sent, answered or run.
class Record {
 public:
  void Open(const std::string& path) { this->file = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->file == nullptr) this->file = stdout;
    std::fprintf(this->file, "%8.3f ", Now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(this->file, format, arguments);
    va_end(arguments);
    std::fputc('\n', this->file);
    std::fflush(this->file);
  }

 private:
  std::mutex mutex;
  std::FILE* file = nullptr;
};

inline Record record;

inline sockaddr_in Endpoint(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// A listening socket; port 0 lets the system choose, and `port` is set to it.
inline int Listen(const std::string& ip, int* port, int backlog = 512) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Endpoint(ip, *port);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener, backlog) != 0) {
    close(listener);
    return -1;
  }
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return listener;
}

/// A port that is free on the address now, and that no connection gets by itself.
inline int FreePort(const std::string& ip) {
  static std::mt19937 random(std::random_device{}());
  static std::vector<int> given;
  for (;;) {
    int port = 20000 + static_cast<int>(random() % 10000);
    if (std::find(given.begin(), given.end(), port) != given.end()) continue;
    const int listener = Listen(ip, &port);
    if (listener < 0) continue;
    close(listener);
    given.push_back(port);
    return port;
  }
}

inline int Connect(const std::string& ip, int port, double timeout = 1.0) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  fcntl(connection, F_SETFL, O_NONBLOCK);
  sockaddr_in address = Endpoint(ip, port);
  int failed = connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (failed != 0 && errno == EINPROGRESS) {
    pollfd state{connection, POLLOUT, 0};
    int error = ETIMEDOUT;
    if (poll(&state, 1, static_cast<int>(timeout * 1000)) > 0) {
      socklen_t size = sizeof error;
      getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    failed = error;
  }
  if (failed != 0) {
    close(connection);
    return -1;
  }
  fcntl(connection, F_SETFL, 0);
  const int on = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connection;
}

inline bool SendAll(int connection, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/// One HTTP/1.1 message, as it was read.
struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool complete = false;
  bool reset = false;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : this->headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return {};
  }
  int Status() const {
    return this->first_line.size() > 12 ? std::atoi(this->first_line.c_str() + 9) : 0;
  }
  std::string Method() const { return this->first_line.substr(0, this->first_line.find(' ')); }
  std::string Target() const {
    const std::size_t begin = this->first_line.find(' ') + 1;
    return this->first_line.substr(begin, this->first_line.find(' ', begin) - begin);
  }
};

/// Reads messages from a connection, one after the other.
class Reader {
 public:
  explicit Reader(int connection_to_read) : connection(connection_to_read) {}

  /// `timeout` in seconds is for the whole message.
  Message Next(double timeout) {
    const double end = Now() + timeout;
    Message message;
    std::size_t head_end = std::string::npos;
    while ((head_end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(end, &message)) return message;
    }
    std::size_t begin = 0;
    while (begin < head_end) {
      const std::size_t line_end = std::min(this->buffer.find("\r\n", begin), head_end);
      const std::string line = this->buffer.substr(begin, line_end - begin);
      begin = line_end + 2;
      if (message.first_line.empty()) {
        message.first_line = line;
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    this->buffer.erase(0, head_end + 4);
    const std::size_t length = std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
    while (this->buffer.size() < length) {
      if (!this->Fill(end, &message)) return message;
    }
    message.body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    message.complete = true;
    return message;
  }

 private:
  bool Fill(double end, Message* message) {
    const double left = end - Now();
    pollfd state{this->connection, POLLIN, 0};
    if (left <= 0 || poll(&state, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
    char bytes[65536];
    const ssize_t size = recv(this->connection, bytes, sizeof bytes, 0);
    if (size < 0) message->reset = true;
    if (size <= 0) return false;
    this->buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  int connection;
  std::string buffer;
};

/// One call on a connection of its own.
inline Message Call(const std::string& ip, int port, const std::string& method,
                    const std::string& target, const std::string& headers, const std::string& body,
                    double timeout) {
  const int connection = Connect(ip, port);
  if (connection < 0) return {};
  std::string text = method + " " + target + " HTTP/1.1\r\n" + headers;
  if (headers.find("Host:") == std::string::npos) text += "Host: " + ip + "\r\n";
  if (!body.empty() || method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  Message answer;
  if (SendAll(connection, text + "\r\n" + body)) answer = Reader(connection).Next(timeout);
  close(connection);
  return answer;
}

/// An HTTP server with a thread for each connection. The handler gets the connection and each
/// request, and returns false to close the connection.
class Server {
 public:
  using Handler = std::function<bool(int connection, const Message& request)>;

  bool Start(const std::string& ip, int* port, Handler request_handler) {
    this->handler = std::move(request_handler);
    this->listener = Listen(ip, port);
    if (this->listener < 0) return false;
    this->stopped = false;
    const int accepting = this->listener;
    std::thread([this, accepting] { this->Accept(accepting); }).detach();
    return true;
  }

  /// Closes the listener and resets the connections, as a process that is killed does.
  void Kill() {
    this->stopped = true;
    shutdown(this->listener, SHUT_RDWR);
    close(this->listener);
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& [id, connection] : this->connections) shutdown(connection, SHUT_RDWR);
  }

 private:
  void Accept(int accepting) {
    for (;;) {
      const int connection = accept4(accepting, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        if (this->stopped || errno == EBADF || errno == EINVAL) return;
        continue;
      }
      const int on = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, connection] { this->Serve(connection); }).detach();
    }
  }

  void Serve(int connection) {
    int id = 0;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      id = ++this->last_id;
      this->connections[id] = connection;
    }
    Reader reader(connection);
    for (;;) {
      const Message request = reader.Next(600);
      if (!request.complete || this->stopped || !this->handler(connection, request)) break;
    }
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->connections.erase(id);
    }
    close(connection);
  }

  Handler handler;
  int listener = -1;
  std::atomic<bool> stopped = false;
  std::mutex mutex;
  int last_id = 0;
  std::map<int, int> connections;
};

inline std::string Answer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store, as PROTOCOL.md has it: items, ranges, watches, transactions, leases.
class Store {
 public:
  bool Start() {
    std::thread([this] {
      for (;; Sleep(0.05)) this->ExpireLeases();
    }).detach();
    return this->server.Start(this->ip, &this->port,
                              [this](int connection, const Message& request) {
                                return SendAll(connection, this->Perform(request));
                              });
  }
  std::string Address() const { return this->ip + ":" + std::to_string(this->port); }

  /// Writes as the operator does.
  std::int64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->revision;
    this->Write(key, Encode(value), 0);
    return this->revision;
  }

 private:
  struct Item {
    std::string value;
    std::int64_t rev = 0, created = 0, lease = 0;
    bool gone = false;
  };

  static std::string Encode(const std::string& bytes) {
    static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        const bool used = i + j <= bytes.size();
        text += used ? kDigits[group >> (18 - 6 * j) & 63] : '=';
      }
    }
    return text;
  }

  static std::string Parameter(const std::string& target, const std::string& name) {
    const std::size_t query = target.find('?');
    if (query == std::string::npos) return {};
    const std::string text = "&" + target.substr(query + 1);
    std::size_t begin = text.find("&" + name + "=");
    if (begin == std::string::npos) return {};
    begin += name.size() + 2;
    const std::string raw = text.substr(begin, text.find('&', begin) - begin);
    std::string value;
    for (std::size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '%' && i + 2 < raw.size()) {
        value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        value += raw[i];
      }
    }
    return value;
  }

  void Write(const std::string& key, const std::string& value, std::int64_t lease) {
    Item& item = this->items[key];
    if (item.gone || item.created == 0) item.created = this->revision;
    item.value = value;
    item.rev = this->revision;
    item.lease = lease;
    item.gone = false;
  }

  void Remove(const std::string& key) {
    const auto found = this->items.find(key);
    if (found == this->items.end() || found->second.gone) return;
    found->second.gone = true;
    found->second.rev = this->revision;
  }

  void ExpireLeases() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
      const auto next = std::next(lease);
      if (lease->second.second <= Now()) this->EndLease(lease->first);
      lease = next;
    }
  }

  void EndLease(std::int64_t id) {
    this->leases.erase(id);
    bool first = true;
    for (auto& [key, item] : this->items) {
      if (item.lease != id || item.gone) continue;
      if (std::exchange(first, false)) ++this->revision;
      this->Remove(key);
    }
  }

  Json Describe(const std::string& key, const Item& item) const {
    if (item.gone) return {{"key", key}, {"rev", item.rev}, {"tombstone", true}};
    return {{"key", key},
            {"value", item.value},
            {"rev", item.rev},
            {"created", item.created},
            {"lease", item.lease}};
  }

  static std::string Respond(int status, const Json& body) {
    return Answer(status, "Content-Type: application/json\r\n", body.dump());
  }

  std::string Perform(const Message& request) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/kv-watch") return this->Watch(target);
    const Json body = Json::parse(request.body, nullptr, false);
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (path == "/kv-key") {
      const auto found = this->items.find(Parameter(target, "key"));
      if (found == this->items.end() || found->second.gone) {
        return Respond(404, {{"asOf", this->revision}});
      }
      Json item = this->Describe(found->first, found->second);
      item["asOf"] = this->revision;
      return Respond(200, item);
    }
    if (path == "/kv-range") return this->Range(target);
    if (path == "/kv-txn") return this->Transact(body);
    if (path == "/kv-lease") {
      const std::int64_t id = ++this->last_lease;
      const double ttl = body.value("ttlS", 10.0);
      this->leases[id] = {ttl, Now() + ttl};
      return Respond(200, {{"lease", id}, {"ttlS", ttl}});
    }
    const std::int64_t id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    const auto lease = this->leases.find(id);
    if (lease == this->leases.end()) return Respond(404, Json::object());
    if (path.starts_with("/kv-keep/")) {
      lease->second.second = Now() + lease->second.first;
      return Respond(200, {{"ttlS", lease->second.first}});
    }
    this->EndLease(id);
    return Respond(200, Json::object());
  }

  std::string Range(const std::string& target) {
    const std::string prefix = Parameter(target, "prefix");
    const std::string after = Parameter(target, "after");
    Json list = Json::array();
    for (const auto& [key, item] : this->items) {
      if (key.starts_with(prefix) && key > after && !item.gone) {
        list.push_back(this->Describe(key, item));
      }
    }
    return Respond(200, {{"items", list}, {"hasMore", false}, {"asOf", this->revision}});
  }

  std::string Transact(const Json& body) {
    Json current = Json::array();
    bool holds = true;
    for (const Json& row : body.value("expected", Json::array())) {
      const std::string key = row["key"];
      const auto found = this->items.find(key);
      const bool there = found != this->items.end() && !found->second.gone;
      if ((there ? found->second.rev : 0) != row["rev"].get<std::int64_t>()) holds = false;
      if (there) current.push_back(this->Describe(key, found->second));
    }
    if (!holds) return Respond(412, {{"items", current}, {"asOf", this->revision}});
    for (const Json& write : body.value("writes", Json::array())) {
      const std::int64_t lease = write.value("lease", std::int64_t{0});
      if (lease != 0 && !this->leases.contains(lease)) return Respond(404, Json::object());
    }
    ++this->revision;
    for (const Json& write : body.value("writes", Json::array())) {
      this->Write(write["key"], write["value"], write.value("lease", std::int64_t{0}));
    }
    for (const Json& key : body.value("deletes", Json::array())) this->Remove(key);
    return Respond(200, {{"rev", this->revision}});
  }

  std::string Watch(const std::string& target) {
    const std::string prefix = Parameter(target, "prefix");
    const std::int64_t after = std::atoll(Parameter(target, "after").c_str());
    const double end = Now() + std::atof(Parameter(target, "waitMs").c_str()) / 1000;
    for (;; Sleep(0.01)) {
      const std::lock_guard<std::mutex> lock(this->mutex);
      Json events = Json::array();
      for (const auto& [key, item] : this->items) {
        if (key.starts_with(prefix) && item.rev > after)
          events.push_back(this->Describe(key, item));
      }
      if (!events.empty() || Now() >= end) {
        return Respond(200, {{"events", events}, {"asOf", this->revision}});
      }
    }
  }

  std::string ip = "127.0.0.1";
  int port = 0;
  Server server;
  std::mutex mutex;
  std::map<std::string, Item> items;
  std::map<std::int64_t, std::pair<double, double>> leases;
  std::int64_t revision = 1;
  std::int64_t last_lease = 100;
};

/// One machine: its addresses and the project's own node on it.
class Machine {
 public:
  std::string name, zone, region, ip, service, folder;
  int outbound = 0, control = 0, ready = 0, app = 0, peer = 0, gossip = 0;
  int memory_mb = 260;
  pid_t pid = -1;

  std::string AppAddress() const { return this->ip + ":" + std::to_string(this->app); }

  /// Writes the settings as the platform does, from platform/settings.template, and starts the node
  /// with the command and the environment of the deploy file.
  bool StartNode(const std::string& store) {
    const std::string settings = this->folder + "/" + this->name + ".toml";
    if (!this->WriteSettings(settings, store)) return false;
    const std::string log = this->folder + "/" + this->name + ".log";
    const char* binary = std::getenv("FIREFLYRUN_BINARY");
    const std::string program = binary != nullptr ? binary : "target/build/src/cli/fireflyrun";
    const std::string boot = "FIREFLYRUN_BOOT=" + settings;
    const std::string memory = "FIREFLYRUN_MEMORY_LIMIT=" + std::to_string(this->memory_mb);
    const std::string path =
        std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
    char* const arguments[] = {const_cast<char*>(program.c_str()), const_cast<char*>("node"),
                               nullptr};
    char* const environment[] = {const_cast<char*>(boot.c_str()), const_cast<char*>(memory.c_str()),
                                 const_cast<char*>(path.c_str()), nullptr};
    this->pid = fork();
    if (this->pid != 0) return this->pid > 0;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, 1);
    dup2(output, 2);
    signal(SIGPIPE, SIG_DFL);
    execve(program.c_str(), arguments, environment);
    _exit(127);
  }

  bool Ready() const {
    return Call(this->ip, this->ready, "GET", "/health", "", "", 1).Status() == 200;
  }

  void Signal(int number) const {
    if (this->pid > 0) kill(this->pid, number);
  }

  /// True once the node's process has ended; `status` is as of waitpid().
  bool Ended(int* status = nullptr) {
    if (this->pid <= 0) return true;
    int ignored = 0;
    if (waitpid(this->pid, status ? status : &ignored, WNOHANG) == 0) return false;
    this->pid = -1;
    return true;
  }

  /// Resident and peak memory of the node's process, in MB.
  struct MemoryUse {
    double resident = 0;
    double peak = 0;
  };
  MemoryUse Memory() const {
    const std::string path = "/proc/" + std::to_string(this->pid) + "/status";
    std::FILE* file = std::fopen(path.c_str(), "r");
    if (file == nullptr) return {};
    char line[256];
    MemoryUse result;
    while (std::fgets(line, sizeof line, file) != nullptr) {
      if (std::strncmp(line, "VmRSS:", 6) == 0) result.resident = std::atof(line + 6) / 1024;
      if (std::strncmp(line, "VmHWM:", 6) == 0) result.peak = std::atof(line + 6) / 1024;
    }
    std::fclose(file);
    return result;
  }

 private:
  bool WriteSettings(const std::string& path, const std::string& store) const {
    const auto at = [this](int port) { return this->ip + ":" + std::to_string(port); };
    const std::map<std::string, std::string> values = {
        {"node", this->name},
        {"region", this->region},
        {"zone", this->zone},
        {"ip", this->ip},
        {"service", this->service},
        {"appAddr", this->AppAddress()},
        {"listen.outbound", at(this->outbound)},
        {"listen.control", at(this->control)},
        {"listen.readyAddr", at(this->ready)},
        {"portRange.0", std::to_string(this->peer)},
        {"portRange.1", std::to_string(this->gossip)},
        {"platform.address", store},
        {"bounds.graceS", "6"},
        {"bounds.budgetRatio", "0.2"},
        {"bounds.budgetWindowS", "10"},
        {"bounds.budgetExtra", "48"}};
    std::FILE* from = std::fopen("platform/settings.template", "r");
    std::FILE* to = std::fopen(path.c_str(), "w");
    if (from == nullptr || to == nullptr) return false;
    char line[4096];
    while (std::fgets(line, sizeof line, from) != nullptr) {
      std::string text = line;
      for (std::size_t begin = text.find("{{"); begin != std::string::npos;
           begin = text.find("{{", begin)) {
        const std::size_t end = text.find("}}", begin);
        const auto value = values.find(text.substr(begin + 2, end - begin - 2));
        const std::string written = value == values.end() ? "" : value->second;
        text.replace(begin, end + 2 - begin, written);
        begin += written.size();
      }
      std::fputs(text.c_str(), to);
    }
    std::fclose(from);
    std::fclose(to);
    return true;
  }
};

/// A set of machines with free loopback addresses and a temporary folder; ends what it started.
class Deployment {
 public:
  Store store;
  std::vector<Machine> machines;

  Deployment() {
    this->machines.reserve(32);
    setvbuf(stdout, nullptr, _IOLBF, 0);
    signal(SIGPIPE, SIG_IGN);
    char pattern[] = "/tmp/review-XXXXXX";
    this->folder = mkdtemp(pattern);
    std::mt19937 random(static_cast<unsigned>(getpid()) ^ std::random_device()());
    this->prefix =
        "127." + std::to_string(1 + random() % 250) + "." + std::to_string(random() % 250) + ".";
  }

  ~Deployment() { this->End(); }

  /// Ends the nodes and this program, whose threads may still run.
  [[noreturn]] void Exit(int status) {
    this->End();
    std::fflush(nullptr);
    _exit(status);
  }

  void End() {
    if (std::exchange(this->ended, true)) return;
    for (Machine& machine : this->machines) {
      machine.Signal(SIGCONT);
      machine.Signal(SIGKILL);
      if (machine.pid > 0) waitpid(machine.pid, nullptr, 0);
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
      const std::string command = "rm -rf " + this->folder;
      if (std::system(command.c_str()) != 0) std::perror("rm");
    } else {
      std::fprintf(stderr, "logs: %s\n", this->folder.c_str());
    }
  }

  Machine& Add(const std::string& zone, const std::string& service) {
    Machine machine;
    const int number = static_cast<int>(this->machines.size());
    machine.ip = this->prefix + std::to_string(10 + number);
    if (number == 0) {
      this->outbound = FreePort(machine.ip);
      this->control = FreePort(machine.ip);
      this->ready = FreePort(machine.ip);
      this->app = FreePort(machine.ip);
      this->peer = FreePort(machine.ip);
      this->gossip = FreePort(machine.ip);
    }
    machine.name = "sidecar-" + zone + "-" + std::to_string(number + 1);
    machine.zone = zone;
    machine.region = zone.starts_with("pied") ? "piedmont" : "lowcountry";
    machine.service = service;
    machine.folder = this->folder;
    machine.outbound = this->outbound;
    machine.control = this->control;
    machine.ready = this->ready;
    machine.app = this->app;
    machine.peer = this->peer;
    machine.gossip = this->gossip;
    this->machines.push_back(machine);
    return this->machines.back();
  }

  bool StartAll() {
    if (!this->store.Start()) return false;
    for (Machine& machine : this->machines) {
      if (!machine.StartNode(this->store.Address())) return false;
    }
    return true;
  }

  bool WaitReady(double seconds) {
    return WaitFor(seconds, [this] {
      for (const Machine& machine : this->machines) {
        if (!machine.Ready()) return false;
      }
      return true;
    });
  }

 private:
  std::string folder, prefix;
  bool ended = false;
  int outbound = 0, control = 0, ready = 0, app = 0, peer = 0, gossip = 0;
};

/// An upstream beside a machine's node: it announces itself, and runs requests as `on_request`
/// says, which returns the whole text of the answer ("" closes the connection).
class Upstream {
 public:
  using Hook = std::function<std::string(int connection, const Message& request)>;

  Machine* machine = nullptr;
  std::string id;
  std::int64_t born = 0;
  int slots = 100;
  double work_s = 0.02;
  std::atomic<bool> healthy = true;
  std::atomic<bool> draining = false;
  std::atomic<bool> beating = true;
  std::atomic<std::int64_t> seq = 0;
  std::atomic<int> runs = 0;
  Hook on_request;

  static std::int64_t UnixMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }

  bool Start(Machine& beside, const std::string& instance, std::int64_t born_ms = UnixMs()) {
    this->machine = &beside;
    this->id = instance;
    this->born = born_ms;
    int port = beside.app;
    const bool started =
        this->server.Start(beside.ip, &port, [this](int connection, const Message& request) {
          const std::string text = this->Serve(connection, request);
          return !text.empty() && SendAll(connection, text);
        });
    if (!started) return false;
    this->alive = true;
    std::thread([this] {
      while (this->alive) {
        if (this->beating) this->Beat(this->draining ? "leaving" : "serving");
        for (int i = 0; i < 30 && this->alive; ++i) Sleep(0.05);
      }
    }).detach();
    return true;
  }

  /// The heartbeat's status; 0 without an answer.
  int Beat(const std::string& state) {
    const Json body = {{"service", this->machine->service},
                       {"address", this->machine->AppAddress()},
                       {"zone", this->machine->zone},
                       {"version", "v1"},
                       {"slots", this->slots},
                       {"state", state},
                       {"cold_left", 0},
                       {"seq", ++this->seq},
                       {"born", this->born}};
    return this->Send("PUT", body.dump());
  }

  int Leave() { return this->Send("DELETE", Json({{"born", this->born}}).dump()); }

  int Send(const std::string& method, const std::string& body) {
    return Call(this->machine->ip, this->machine->control, method, "/target?id=" + this->id,
                "Content-Type: application/json\r\n", body, 1)
        .Status();
  }

  void Kill() {
    this->alive = false;
    this->server.Kill();
  }

 private:
  std::string Serve(int connection, const Message& request) {
    const std::string instance = "Instance-Id: " + this->id + "\r\n";
    if (request.Target() == "/healthz") {
      return Answer(this->healthy && !this->draining ? 200 : 503, instance, "");
    }
    const std::string expected = request.Header("Expect-Instance");
    const std::string echo = "Request-Id: " + request.Header("Request-Id") + "\r\n";
    if (!expected.empty() && expected != this->id) {
      return Answer(421, instance + echo + "Not-Executed: 1\r\n", "");
    }
    ++this->runs;
    record.Line("upstream %s: runs %s", this->id.c_str(), request.Header("Request-Id").c_str());
    if (this->on_request) return this->on_request(connection, request);
    Sleep(this->work_s);
    return Answer(200, echo + "Response-Seal: 1.2.3\r\n", "done " + request.Header("Request-Id"));
  }

  Server server;
  std::atomic<bool> alive = false;
};

inline std::string RequestHeaders(const std::string& id, int deadline_ms) {
  return "Host: hulo84.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
}

/// One request of a client, with its lines in the record; the answer's status, 0 without one.
inline int Request(const std::string& ip, int port, const std::string& method,
                   const std::string& path, const std::string& id, const std::string& body) {
  record.Line("client: sends %s %s, id %s", method.c_str(), path.c_str(), id.c_str());
  const Message answer = Call(ip, port, method, path, RequestHeaders(id, 3000), body, 4);
  if (answer.complete) {
    record.Line("client: %s is answered %d", id.c_str(), answer.Status());
  } else {
    record.Line("client: %s gets no answer", id.c_str());
  }
  return answer.complete ? answer.Status() : 0;
}

inline std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard<std::mutex> lock(mutex);
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

/// A route of the operator's configuration.
inline Json Route(const std::string& prefix, const std::string& kind, const std::string& service,
                  double timeout_s = 5, int max_attempts = 2) {
  return {{"host", "hulo84.example"}, {"prefix", prefix},           {"kind", kind},
          {"timeoutS", timeout_s},    {"targetLatencyS", 1.5},      {"priority", 0},
          {"service", service},       {"maxAttempts", max_attempts}};
}

inline Json Configuration(int version, const Json& routes,
                          const std::vector<std::string>& services) {
  Json document = {{"version", version}, {"routes", routes}, {"services", Json::object()}};
  for (const std::string& service : services) {
    document["services"][service] = {
        {"healthPath", "/healthz"}, {"maxConns", 718}, {"protocol", "h1"}, {"tls", false}};
  }
  document["limits"] = {{"maxHeaderBytes", 16384},
                        {"maxBodyBytes", 67108864},
                        {"headerTimeoutS", 3},
                        {"idleTimeoutS", 15}};
  return document;
}

}  // namespace lab
