#include "bench/capacity_fleet.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "tests/integration/wait_until.h"

namespace fireflyrun::bench {
namespace {

using integration::Get;
using integration::HostLayout;
using nlohmann::json;

constexpr double kSecondsPerNanosecond = 1e-9;
constexpr int kRegions = 6;

std::string NodeName(int zone, int number) {
  return "node-" + std::to_string(zone) + "-" + std::to_string(number);
}

std::vector<HostLayout> Layouts(int zones, int zone_nodes) {
  std::vector<HostLayout> layouts;
  for (int zone = 0; zone < zones; ++zone) {
    for (int number = 0; number < zone_nodes; ++number) {
      HostLayout layout;
      layout.node = NodeName(zone, number);
      layout.region = "region-" + std::to_string(zone % kRegions);
      layout.zone = "zone-" + std::to_string(zone);
      layouts.push_back(layout);
    }
  }
  return layouts;
}

double ParseMetric(const std::string& text, const std::string& name) {
  const auto position = text.find("\n" + name + " ");
  if (position == std::string::npos) return -1;
  return std::strtod(text.c_str() + position + name.size() + 2, nullptr);
}

/// Processor time of all threads of a process.
double ProcessorSeconds(pid_t id) {
  double nanoseconds = 0;
  const std::string folder = "/proc/" + std::to_string(id) + "/task";
  for (const auto& task : std::filesystem::directory_iterator(folder)) {
    double thread = 0;
    std::ifstream(task.path() / "schedstat") >> thread;
    nanoseconds += thread;
  }
  return nanoseconds * kSecondsPerNanosecond;
}

double ResidentKilobytes(pid_t id) {
  std::ifstream status("/proc/" + std::to_string(id) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::strtod(line.c_str() + 6, nullptr);
  }
  return -1;
}

}  // namespace

CapacityFleet::CapacityFleet(int zone_count, int zone_nodes)
    : zones(zone_count), fleet(Layouts(zone_count, zone_nodes), integration::ChainRecords()) {
  for (const auto& layout : Layouts(zone_count, zone_nodes)) this->names.push_back(layout.node);
}

double CapacityFleet::Metric(int node, const std::string& name) const {
  return ParseMetric(Get(this->fleet.AdminUrl(this->Name(node)) + "/metrics").body, name);
}

bool CapacityFleet::HasCompleteView(int node) const {
  const std::string text = Get(this->fleet.AdminUrl(this->Name(node)) + "/metrics").body;
  return ParseMetric(text, "fireflyrun_members") == this->Nodes() &&
         ParseMetric(text, "fireflyrun_records_revision") > 0;
}

bool CapacityFleet::WaitForCompleteViews(std::chrono::milliseconds limit) {
  int next = 0;
  return integration::WaitUntil(limit, [this, &next] {
    while (next < this->Nodes() && this->HasCompleteView(next)) ++next;
    return next == this->Nodes();
  });
}

FleetUsage CapacityFleet::Read() const {
  FleetUsage usage;
  auto& processes = const_cast<integration::Fleet&>(this->fleet);
  for (const std::string& name : this->names) {
    const std::string text = Get(this->fleet.AdminUrl(name) + "/metrics").body;
    NodeUsage node;
    node.sent_bytes = ParseMetric(text, "fireflyrun_control_sent_bytes_total");
    node.received_bytes = ParseMetric(text, "fireflyrun_control_received_bytes_total");
    node.sent_messages = ParseMetric(text, "fireflyrun_control_sent_messages_total");
    node.processor_seconds = ProcessorSeconds(processes.NodeProcess(name).Id());
    node.resident_kilobytes = ResidentKilobytes(processes.NodeProcess(name).Id());
    usage.nodes.push_back(node);
  }
  const json counters = json::parse(Get(this->fleet.StoreUrl() + "/counters").body);
  for (const auto& call : counters["calls"].items()) usage.store_calls += call.value().get<int>();
  usage.at = std::chrono::steady_clock::now();
  return usage;
}

bool CapacityFleet::Announce(int node, int slots, const std::string& state) const {
  integration::HttpCall call;
  call.method = "PUT";
  call.url = this->fleet.AdminUrl(this->Name(node)) + "/target";
  const json body = {
      {"service", "entry"}, {"address", "127.0.0.1:9"}, {"slots", slots}, {"state", state}};
  call.body = body.dump();
  return integration::MakeCall(call).status == 204;
}

bool CapacityFleet::ListsTarget(int node, int target, int slots, const std::string& state) const {
  const std::string url = this->fleet.AdminUrl(this->Name(node)) + "/targets";
  const json list = json::parse(Get(url).body, nullptr, false);
  for (const auto& item : list) {
    if (item.value("node", "") != this->Name(target)) continue;
    return item.value("slots", 0) == slots && item.value("state", "") == state;
  }
  return false;
}

}  // namespace fireflyrun::bench
