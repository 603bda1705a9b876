#include "tests/integration/fleet.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kStartLimit{10'000};
constexpr std::chrono::milliseconds kCommandLimit{30'000};
constexpr int kFirstHostOctet = 10;
constexpr int kFirstExtraOctet = 200;  // Above hosts and their advertised addresses.
/// From a host's own address to the one at which a FaultNetwork stands for it.
constexpr int kAdvertisedOctetOffset = 100;
constexpr int kOctetValues = 250;
constexpr mode_t kPipeMode = 0600;

std::string MakeFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "fireflyrun-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot make a folder");
  return name;
}

std::string MakeAddressPrefix() {
  static int fleets = 0;
  const int id = getpid() + 7919 * fleets++;
  return "127." + std::to_string(1 + id / kOctetValues % kOctetValues) + "." +
         std::to_string(id % kOctetValues) + ".";
}

/// The port that a stand-in prints under `name` when it is ready.
int ReadPort(const Process& process, const std::string& name = "port") {
  int port = 0;
  const bool ready = WaitUntil(kStartLimit, [&process, &name, &port] {
    const json line = json::parse(process.Output(), nullptr, false);
    if (!line.is_object() || !line.contains(name)) return false;
    port = line[name].get<int>();
    return true;
  });
  if (!ready) throw std::runtime_error("a stand-in does not start: " + process.ErrorOutput());
  return port;
}

void PostFault(const std::string& url, const std::string& fault) {
  HttpCall call;
  call.method = "POST";
  call.url = url + "/fault";
  call.body = fault;
  const auto answer = MakeCall(call);
  if (answer.status / 100 != 2) throw std::runtime_error("fault not set: " + answer.body);
}

}  // namespace

Fleet::Fleet(std::vector<HostLayout> layouts, const std::string& records, FleetOptions options)
    : folder(MakeFolder()), address_prefix(MakeAddressPrefix()) {
  this->unread_output = options.unread_output;
  this->StartStore();
  const auto applied = this->Command({"apply", this->WriteFile("records.json", records)});
  if (applied.status != 0) throw std::runtime_error("apply: " + applied.output + applied.errors);
  if (options.network) this->network = std::make_unique<FaultNetwork>();
  for (auto& layout : layouts) this->AddHost(std::move(layout));
  for (const auto& host : this->hosts) this->StartNode(host.layout.node);
  for (const auto& host : this->hosts) this->StartTarget(host.layout.node);
}

Fleet::~Fleet() {
  for (auto& host : this->hosts) {
    if (host.target) host.target->Kill();
    if (host.node) host.node->Kill();
  }
  this->store->Kill();
  for (const int pipe : this->unread_pipes) close(pipe);
  if (std::getenv("FIREFLYRUN_KEEP_LOGS") == nullptr) std::filesystem::remove_all(this->folder);
}

void Fleet::AddHost(HostLayout layout) {
  const int octet = kFirstHostOctet + static_cast<int>(this->hosts.size());
  Host host;
  host.layout = std::move(layout);
  host.address = this->address_prefix + std::to_string(octet);
  host.advertised = host.address;
  host.store = this->store_address;
  if (this->network) {
    host.advertised = this->address_prefix + std::to_string(octet + kAdvertisedOctetOffset);
    host.store = this->network->AddHost(host.layout.node, host.layout.zone, host.address,
                                        host.advertised, this->store_address);
  }
  this->hosts.push_back(std::move(host));
}

void Fleet::StartStore() {
  this->store = std::make_unique<Process>(
      std::vector<std::string>{STORE_STANDIN_PATH, "--port", "0"}, this->folder + "/store");
  this->store_address = "127.0.0.1:" + std::to_string(ReadPort(*this->store));
  this->store_control_url =
      "http://127.0.0.1:" + std::to_string(ReadPort(*this->store, "control_port"));
}

std::string Fleet::Seeds() const {
  std::string seeds;
  for (const auto& host : this->hosts) {
    seeds += (seeds.empty() ? "" : ",") + host.advertised + ":7403";
  }
  return seeds;
}

void Fleet::StartNode(const std::string& node) {
  Host& host = this->Find(node);
  host.node = this->StartNodeProcess("test", host);
}

std::unique_ptr<Process> Fleet::StartExtraNode(const std::string& cluster,
                                               const std::string& node) {
  Host host;
  host.layout = this->hosts.front().layout;
  host.layout.node = node;
  host.address = this->address_prefix + std::to_string(kFirstExtraOctet + this->starts);
  host.advertised = host.address;
  host.store = this->store_address;
  return this->StartNodeProcess(cluster, host);
}

std::unique_ptr<Process> Fleet::StartNodeProcess(const std::string& cluster, const Host& host) {
  const auto& layout = host.layout;
  std::vector<std::string> command{FIREFLYRUN_PATH,
                                   "node",
                                   "--cluster",
                                   cluster,
                                   "--node",
                                   layout.node,
                                   "--region",
                                   layout.region,
                                   "--zone",
                                   layout.zone,
                                   "--address",
                                   host.address,
                                   "--advertised-address",
                                   host.advertised,
                                   "--store",
                                   host.store,
                                   "--seeds",
                                   this->Seeds(),
                                   "--log-level",
                                   "debug"};
  command.insert(command.end(), layout.node_flags.begin(), layout.node_flags.end());
  const std::string output =
      this->folder + "/" + layout.node + "-" + std::to_string(this->starts++);
  if (this->unread_output) this->MakeUnreadPipe(output + ".out");
  return std::make_unique<Process>(std::move(command), output);
}

void Fleet::MakeUnreadPipe(const std::string& path) {
  if (mkfifo(path.c_str(), kPipeMode) != 0) throw std::runtime_error("cannot make " + path);
  this->unread_pipes.push_back(open(path.c_str(), O_RDWR | O_CLOEXEC));
}

void Fleet::StartTarget(const std::string& node) {
  Host& host = this->Find(node);
  if (host.layout.service.empty()) return;
  std::vector<std::string> command{TARGET_STANDIN_PATH,
                                   "--port",
                                   "0",
                                   "--service",
                                   host.layout.service,
                                   "--node-admin",
                                   host.address + ":7401",
                                   "--node-caller",
                                   host.address + ":7400",
                                   "--slots",
                                   std::to_string(host.layout.slots),
                                   "--service-time-ms",
                                   std::to_string(host.layout.service_time_ms)};
  if (!host.layout.calls.empty()) {
    command.emplace_back("--calls");
    command.push_back(host.layout.calls);
  }
  const auto& flags = host.layout.target_flags;
  command.insert(command.end(), flags.begin(), flags.end());
  host.target = std::make_unique<Process>(
      std::move(command), this->folder + "/" + node + "-target" + std::to_string(this->starts++));
  host.target_url = "http://127.0.0.1:" + std::to_string(ReadPort(*host.target));
}

Fleet::Host& Fleet::Find(const std::string& node) {
  for (auto& host : this->hosts) {
    if (host.layout.node == node) return host;
  }
  throw std::runtime_error("no host " + node);
}

const Fleet::Host& Fleet::Find(const std::string& node) const {
  return const_cast<Fleet*>(this)->Find(node);
}

std::string Fleet::CallerUrl(const std::string& node) const {
  return "http://" + this->Address(node) + ":7400";
}

std::string Fleet::AdminUrl(const std::string& node) const {
  return "http://" + this->Address(node) + ":7401";
}

std::string Fleet::StoreUrl() const { return "http://" + this->store_address; }

std::string Fleet::Address(const std::string& node) const { return this->Find(node).address; }

Process& Fleet::NodeProcess(const std::string& node) { return *this->Find(node).node; }

Process& Fleet::TargetProcess(const std::string& node) { return *this->Find(node).target; }

bool Fleet::WaitReady(std::chrono::milliseconds limit) {
  return WaitUntil(limit, [this] {
    for (const auto& host : this->hosts) {
      if (Get(this->AdminUrl(host.layout.node) + "/health").status != 200) return false;
      if (!this->SeeAllTargets(host).empty()) return false;
    }
    return true;
  });
}

std::string Fleet::SeeAllTargets(const Host& host) const {
  const json targets =
      json::parse(Get(this->AdminUrl(host.layout.node) + "/targets").body, nullptr, false);
  for (const auto& other : this->hosts) {
    if (other.layout.service.empty()) continue;
    bool seen = false;
    for (const auto& target : targets) {
      seen = seen || (target.value("node", "") == other.layout.node &&
                      target.value("state", "") == "serving" &&
                      target.value("reachability", "") != "unreachable");
    }
    if (!seen) return other.layout.node;
  }
  return "";
}

HttpAnswer Fleet::Call(const std::string& node, const std::string& method, const std::string& path,
                       std::vector<std::string> headers, std::string body) {
  HttpCall call;
  call.method = method;
  call.url = this->CallerUrl(node) + path;
  call.headers = std::move(headers);
  call.body = std::move(body);
  return MakeCall(call);
}

void Fleet::SetStoreFault(const std::string& fault) const {
  PostFault(this->store_control_url, fault);
}

void Fleet::SetTargetFault(const std::string& node, const std::string& fault) const {
  PostFault(this->Find(node).target_url, fault);
}

const std::string& Fleet::TargetUrl(const std::string& node) const {
  return this->Find(node).target_url;
}

std::string Fleet::RunCounts(const std::string& node) const {
  return Get(this->Find(node).target_url + "/runs").body;
}

std::string Fleet::Runs(const std::string& node) const {
  return Get(this->Find(node).target_url + "/runs?full=1").body;
}

std::vector<std::string> Fleet::NodesWithTargets() const {
  std::vector<std::string> nodes;
  for (const auto& host : this->hosts) {
    if (!host.layout.service.empty()) nodes.push_back(host.layout.node);
  }
  return nodes;
}

int Fleet::RunsOfKey(const std::string& key) const {
  int runs = 0;
  for (const auto& host : this->hosts) {
    if (host.layout.service.empty()) continue;
    const json document = json::parse(this->Runs(host.layout.node), nullptr, false);
    if (!document.is_object()) continue;
    for (const auto& run : document["list"]) runs += run.value("key", "") == key ? 1 : 0;
  }
  return runs;
}

std::string Fleet::WriteFile(const std::string& name, const std::string& text) const {
  std::string path = this->folder + "/" + name;
  std::ofstream(path) << text;
  return path;
}

Fleet::CommandResult Fleet::Command(std::vector<std::string> arguments) const {
  std::vector<std::string> command{FIREFLYRUN_PATH};
  command.insert(command.end(), arguments.begin(), arguments.end());
  command.insert(command.end(), {"--cluster", "test", "--store", this->store_address});
  Process process(std::move(command), this->folder + "/command" + std::to_string(this->commands++));
  CommandResult result;
  result.status = process.WaitForExit(kCommandLimit);
  result.output = process.Output();
  result.errors = process.ErrorOutput();
  return result;
}

std::string ChainRecords() {
  return R"([
    {"kind": "priority", "schema": 1, "name": "critical", "rank": 0, "may_leave_region": true},
    {"kind": "priority", "schema": 1, "name": "bulk", "rank": 5, "may_leave_region": false},
    {"kind": "priority", "schema": 1, "name": "status", "rank": 9, "may_leave_region": false},
    {"kind": "retry_allowance", "schema": 1, "name": "standard", "retries_per_request": 3,
     "success_ratio": 0.1, "burst": 20},
    {"kind": "service", "schema": 1, "name": "entry", "priority": "status",
     "retry_allowance": "standard", "deadline_ms": 4000, "idempotent": true},
    {"kind": "service", "schema": 1, "name": "middle", "priority": "status",
     "retry_allowance": "standard", "deadline_ms": 4000, "idempotent": true},
    {"kind": "service", "schema": 1, "name": "deep", "priority": "status",
     "retry_allowance": "standard", "deadline_ms": 4000, "idempotent": true},
    {"kind": "service", "schema": 1, "name": "filings", "priority": "critical",
     "retry_allowance": "standard", "deadline_ms": 4000, "idempotent": false},
    {"kind": "service", "schema": 1, "name": "postings", "priority": "critical",
     "retry_allowance": "standard", "deadline_ms": 4000, "idempotent": false}
  ])";
}

std::string RecordsWithoutRetries(const std::string& service, int deadline_ms) {
  return R"([
    {"kind": "priority", "schema": 1, "name": "status", "rank": 9, "may_leave_region": false},
    {"kind": "retry_allowance", "schema": 1, "name": "none", "retries_per_request": 0,
     "success_ratio": 0, "burst": 0},
    {"kind": "service", "schema": 1, "name": ")" +
         service + R"(", "priority": "status", "retry_allowance": "none", "idempotent": true,
     "deadline_ms": )" +
         std::to_string(deadline_ms) + "}]";
}

}  // namespace fireflyrun::integration
