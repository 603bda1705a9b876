#include "tests/platform/platform_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <asio/post.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <map>
#include <stdexcept>

namespace fireflyrun::platform {
namespace {

constexpr std::size_t kPageItems = 100;
constexpr int kFirstHostOctet = 10;
constexpr int kOctetValues = 250;
constexpr int kFleetIdStride = 7919;  // Gives each fleet of a process its own addresses.
constexpr const char* kConfigurationKey = "op/config";
constexpr const char* kRouteHost = "Host: shop.example";

std::string MakeFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "fireflyrun-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot make a folder");
  return name;
}

std::string MakeAddressPrefix() {
  static int fleets = 0;
  const int id = getpid() + kFleetIdStride * fleets++;
  return "127." + std::to_string(1 + id / kOctetValues % kOctetValues) + "." +
         std::to_string(id % kOctetValues) + ".";
}

void Replace(std::string& text, const std::string& from, const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from)) {
    text.replace(at, from.size(), to);
  }
}

}  // namespace

PlatformFleet::PlatformFleet(std::vector<Host> layout, Start start)
    : hosts(std::move(layout)),
      folder(MakeFolder()),
      ip_prefix(MakeAddressPrefix()),
      model(std::make_shared<standins::MetadataModel>(kPageItems)) {
  for (const Host& host : this->hosts) this->AddMember(host);
  for (std::size_t host = 0; start == Start::kAtOnce && host < this->hosts.size(); ++host) {
    this->StartNode(host);
  }
  this->thread = std::thread([this] { this->loop.run(); });
}

PlatformFleet::~PlatformFleet() {
  for (Member& member : this->members) {
    if (member.node) member.node->Kill();
  }
  this->loop.stop();
  this->thread.join();
  if (std::getenv("FIREFLYRUN_KEEP_LOGS") == nullptr) std::filesystem::remove_all(this->folder);
}

void PlatformFleet::AddMember(const Host& host) {
  Member member;
  member.ip = this->ip_prefix + std::to_string(kFirstHostOctet + this->members.size());
  member.store = std::make_unique<standins::MetadataStandin>(this->loop, this->model);
  member.target = std::make_unique<PlatformTarget>(
      this->loop, this->timers, this->client,
      PlatformTarget::Identity{member.ip, host.service, "i-" + host.node}, this->behavior,
      this->runs);
  member.target->AnnounceTo(member.ip + ":7401");
  this->members.push_back(std::move(member));
}

std::string PlatformFleet::Settings(std::size_t host) const {
  std::ifstream file(SETTINGS_TEMPLATE_PATH);
  std::string text(std::istreambuf_iterator<char>(file), {});
  const Host& layout = this->hosts[host];
  const Member& member = this->members[host];
  const std::map<std::string, std::string> values = {
      {"node", layout.node},         {"region", "east"},
      {"zone", layout.zone},         {"ip", member.ip},
      {"listen.outbound", "7400"},   {"listen.control", "7401"},
      {"listen.readyAddr", "7404"},  {"portRange.0", "7402"},
      {"portRange.1", "7403"},       {"platform.address", member.store->Address()},
      {"service", layout.service},   {"appAddr", member.target->Address()},
      {"bounds.graceS", "8"},        {"bounds.budgetRatio", "0.2"},
      {"bounds.budgetWindowS", "3"}, {"bounds.budgetExtra", "30"}};
  for (const auto& [name, value] : values) Replace(text, "{{" + name + "}}", value);
  if (text.empty() || text.find("{{") != std::string::npos) {
    throw std::runtime_error("the template has unknown placeholders, or is empty: " + text);
  }
  return text;
}

void PlatformFleet::StartNode(std::size_t host) {
  const std::string name =
      this->folder + "/" + this->hosts[host].node + "-" + std::to_string(this->start_count++);
  std::ofstream(name + ".settings") << this->Settings(host);
  this->members[host].node = std::make_unique<integration::Process>(
      std::vector<std::string>{"/usr/bin/env", "FIREFLYRUN_BOOT=" + name + ".settings",
                               FIREFLYRUN_PATH, "node"},
      name);
}

void PlatformFleet::RunOnLoop(const std::function<void()>& action) {
  std::promise<void> done;
  asio::post(this->loop, [&action, &done] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

void PlatformFleet::Configure(const nlohmann::json& configuration) {
  this->RunOnLoop([&] { this->model->Put(kConfigurationKey, configuration.dump()); });
}

void PlatformFleet::SetStoreFault(std::size_t host, standins::MetadataFaultMode mode) {
  this->RunOnLoop([&] {
    this->members[host].store->SetFault({mode});
    this->members[host].store->CutWatches();
  });
}

void PlatformFleet::OnModel(const std::function<void(standins::MetadataModel&)>& action) {
  this->RunOnLoop([&] { action(*this->model); });
}

void PlatformFleet::CutWatches() {
  this->RunOnLoop([this] {
    for (Member& member : this->members) member.store->CutWatches();
  });
}

std::map<std::string, std::string> PlatformFleet::GoBack(Duration age,
                                                         standins::MetadataStandin::Return how) {
  std::map<std::string, std::string> written;
  this->RunOnLoop([&] {
    written = this->model->GoBack(age, SteadyClock::now());
    for (Member& member : this->members) member.store->OnReturn(how);
  });
  return written;
}

void PlatformFleet::SetBehavior(const TargetBehavior& new_behavior) {
  this->RunOnLoop([&] { this->behavior = new_behavior; });
}

void PlatformFleet::ReplaceTarget(std::size_t host, const std::string& id) {
  this->RunOnLoop([&] { this->members[host].target->ReplaceWith(id); });
}

std::string PlatformFleet::TargetId(std::size_t host) {
  std::string id;
  this->RunOnLoop([&] { id = this->members[host].target->Id(); });
  return id;
}

TargetRuns PlatformFleet::Runs(const std::string& request_id) {
  TargetRuns found;
  this->RunOnLoop([&] {
    std::copy_if(this->runs.begin(), this->runs.end(), std::back_inserter(found),
                 [&](const TargetRun& run) {
                   const bool matches = request_id.empty() || run.RequestId() == request_id;
                   return run.has_run && matches;
                 });
  });
  return found;
}

std::size_t PlatformFleet::CountMisdirected() {
  std::size_t count = 0;
  this->RunOnLoop([&] {
    for (const TargetRun& run : this->runs) count += run.has_run ? 0 : 1;
  });
  return count;
}

integration::HttpAnswer PlatformFleet::Call(std::size_t host, const std::string& method,
                                            const std::string& path,
                                            std::vector<std::string> headers,
                                            std::string body) const {
  integration::HttpCall call;
  call.method = method;
  call.url = "http://" + this->members[host].ip + ":7400" + path;
  call.headers = std::move(headers);
  call.headers.emplace_back(kRouteHost);
  call.body = std::move(body);
  return MakeCall(call);
}

int PlatformFleet::Announce(std::size_t host, const std::string& id, std::string body) const {
  integration::HttpCall call;
  call.method = "PUT";
  call.url = "http://" + this->members[host].ip + ":7401/target?id=" + id;
  call.body = std::move(body);
  return MakeCall(call).status;
}

int PlatformFleet::Health(std::size_t host) const {
  return integration::Get("http://" + this->members[host].ip + ":7404/health").status;
}

std::uint64_t PlatformFleet::ResidentBytes(std::size_t host) const {
  const std::string name = "\nprocess_resident_memory_bytes ";
  const auto answer = integration::Get("http://" + this->members[host].ip + ":9464/metrics");
  const std::size_t found = answer.body.find(name);
  if (answer.status != 200 || found == std::string::npos) return 0;
  return static_cast<std::uint64_t>(std::stod(answer.body.substr(found + name.size())));
}

}  // namespace fireflyrun::platform
