#include "bench/bench_fleet.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>
#include <stdexcept>

namespace fireflyrun::bench {
namespace {

using integration::Fleet;
using integration::HostLayout;
using nlohmann::json;

constexpr int kUpperSlots = 45;
constexpr int kUpperServiceMs = 5;
constexpr int kDeepSlots = 10;
constexpr int kDeepServiceMs = 100;
const std::vector<std::string> kEntryNodes = {"calendar-a", "calendar-b"};
const std::vector<std::string> kDeepNodes = {"clerkdesk-a", "clerkdesk-b"};

std::string Records() {
  return R"([
    {"kind": "priority", "schema": 1, "name": "proclamations", "rank": 0,
     "may_leave_region": true},
    {"kind": "priority", "schema": 1, "name": "lookups", "rank": 5, "may_leave_region": false},
    {"kind": "priority", "schema": 1, "name": "status-checks", "rank": 9,
     "may_leave_region": false},
    {"kind": "retry_allowance", "schema": 1, "name": "standard", "retries_per_request": 3,
     "success_ratio": 0.1, "burst": 20},
    {"kind": "service", "schema": 2, "name": "calendar", "priority": "lookups",
     "retry_allowance": "standard", "deadline_ms": 4000, "idempotent": true,
     "routes": [{"method": "GET", "path": "/status", "priority": "status-checks"},
                {"method": "GET", "path": "/notices", "priority": "proclamations"}]},
    {"kind": "service", "schema": 1, "name": "proclaim", "priority": "status-checks",
     "retry_allowance": "standard", "deadline_ms": 4000, "idempotent": true},
    {"kind": "service", "schema": 1, "name": "clerkdesk", "priority": "status-checks",
     "retry_allowance": "standard", "deadline_ms": 4000, "idempotent": true}
  ])";
}

HostLayout Host(const std::string& service, const std::string& zone, bool decisions_off) {
  HostLayout host;
  host.node = service + "-" + zone;
  host.region = "piedmont";
  host.zone = "pied-" + zone;
  host.service = service;
  host.slots = service == "clerkdesk" ? kDeepSlots : kUpperSlots;
  host.service_time_ms = service == "clerkdesk" ? kDeepServiceMs : kUpperServiceMs;
  if (service == "calendar") host.calls = "proclaim:/orders";
  if (service == "proclaim") host.calls = "clerkdesk:/acknowledgments";
  host.node_flags = {"--log-level", "warning", "--max-connections", "20000"};
  if (decisions_off) host.node_flags.insert(host.node_flags.end(), {"--decisions-off", "on"});
  return host;
}

std::vector<HostLayout> Layout(bool decisions_off) {
  std::vector<HostLayout> hosts;
  for (const char* service : {"calendar", "proclaim", "clerkdesk"}) {
    for (const char* zone : {"a", "b"}) hosts.push_back(Host(service, zone, decisions_off));
  }
  return hosts;
}

std::string RootOf(const std::string& tag) { return tag.substr(0, tag.find('/')); }

}  // namespace

ChainFleet::ChainFleet(bool decisions_off)
    : fleet(std::make_unique<Fleet>(Layout(decisions_off), Records())) {
  if (!this->fleet->WaitReady()) throw std::runtime_error("the chain fleet did not become ready");
}

std::vector<std::string> ChainFleet::CallerAddresses() const {
  std::vector<std::string> addresses;
  addresses.reserve(kEntryNodes.size());
  for (const auto& node : kEntryNodes) addresses.push_back(this->fleet->Address(node) + ":7400");
  return addresses;
}

void ChainFleet::SlowDeep(double factor) const {
  const std::string fault = json{{"slow_factor", factor}}.dump();
  for (const auto& node : kDeepNodes) this->fleet->SetTargetFault(node, fault);
}

void ChainFleet::FailDeep(bool fail) const {
  const std::string fault = json{{"fail", fail}}.dump();
  for (const auto& node : kDeepNodes) this->fleet->SetTargetFault(node, fault);
}

std::vector<std::size_t> ChainFleet::DeepRunCounts() const {
  std::vector<std::size_t> counts;
  counts.reserve(kDeepNodes.size());
  for (const auto& node : kDeepNodes) {
    counts.push_back(json::parse(this->fleet->RunCounts(node)).at("runs").get<std::size_t>());
  }
  return counts;
}

double ChainFleet::DeepRuns() const {
  const auto counts = this->DeepRunCounts();
  return static_cast<double>(std::accumulate(counts.begin(), counts.end(), std::size_t{0}));
}

int ChainFleet::MaxDeepRunsPerRoot(const std::vector<std::size_t>& from_run) const {
  std::map<std::string, int> runs;
  for (std::size_t target = 0; target < kDeepNodes.size(); ++target) {
    const json list = json::parse(this->fleet->Runs(kDeepNodes[target])).at("list");
    for (std::size_t run = from_run[target]; run < list.size(); ++run) {
      ++runs[RootOf(list[run].at("tag").get<std::string>())];
    }
  }
  int most = 0;
  for (const auto& [root, count] : runs) most = std::max(most, count);
  return most;
}

}  // namespace fireflyrun::bench
