#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/integration/fault_network.h"
#include "tests/integration/fleet_options.h"
#include "tests/integration/host_layout.h"
#include "tests/integration/http_call.h"
#include "tests/integration/process.h"

namespace fireflyrun::integration {

/// A store stand-in, nodes and targets as real processes on loopback. Every host has an address of
/// its own in 127.0.0.0/8, derived from this process's id, so that test programs can run side by
/// side.
class Fleet {
 public:
  /// Starts the store and writes `records` (the text of a records file), then starts the hosts.
  Fleet(std::vector<HostLayout> hosts, const std::string& records, FleetOptions options = {});
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Every node holds the records and sees every target; false after `limit`.
  bool WaitReady(std::chrono::milliseconds limit = std::chrono::seconds(20));

  std::string CallerUrl(const std::string& node) const;
  std::string AdminUrl(const std::string& node) const;
  std::string StoreUrl() const;
  std::string Address(const std::string& node) const;

  /// A call through a node; `headers` are `Name: value`.
  HttpAnswer Call(const std::string& node, const std::string& method, const std::string& path,
                  std::vector<std::string> headers = {}, std::string body = "");

  Process& NodeProcess(const std::string& node);
  Process& TargetProcess(const std::string& node);
  /// Only with FleetOptions::network.
  FaultNetwork& Network() { return *this->network; }
  Process& StoreProcess() { return *this->store; }

  /// Starts another process for a node or target that has ended.
  void StartNode(const std::string& node);
  void StartTarget(const std::string& node);

  /// Starts a node that is none of the hosts, on an address of its own, with the fleet's seeds.
  std::unique_ptr<Process> StartExtraNode(const std::string& cluster, const std::string& node);

  /// Switches a fault of the store stand-in, or of a node's target, on or off.
  void SetStoreFault(const std::string& json) const;
  void SetTargetFault(const std::string& node, const std::string& json) const;

  /// Where the target of a node is reached without going through any node.
  const std::string& TargetUrl(const std::string& node) const;
  /// How much the target of a node has run: the text of its `GET /runs`.
  std::string RunCounts(const std::string& node) const;
  std::vector<std::string> NodesWithTargets() const;
  /// What the target of a node has run: the text of its `GET /runs?full=1`.
  std::string Runs(const std::string& node) const;
  /// Runs of all targets of the fleet whose key is `key`.
  int RunsOfKey(const std::string& key) const;

  /// Runs `fireflyrun SUBCOMMAND ...` with the fleet's store; its exit status and output.
  struct CommandResult {
    int status = 0;
    std::string output;
    std::string errors;
  };
  CommandResult Command(std::vector<std::string> arguments) const;
  /// Writes a file into the fleet's folder; its path.
  std::string WriteFile(const std::string& name, const std::string& text) const;

 private:
  struct Host {
    HostLayout layout;
    std::string address;
    std::string advertised;  ///< Where other hosts reach it; `address` without a network.
    std::string store;       ///< Where it reaches the store.
    std::unique_ptr<Process> node;
    std::unique_ptr<Process> target;
    std::string target_url;
  };

  void StartStore();
  std::unique_ptr<Process> StartNodeProcess(const std::string& cluster, const Host& host);
  void AddHost(HostLayout layout);
  Host& Find(const std::string& node);
  const Host& Find(const std::string& node) const;
  std::string SeeAllTargets(const Host& host) const;
  std::string Seeds() const;
  void MakeUnreadPipe(const std::string& path);

  std::string folder;
  std::string address_prefix;
  std::string store_address;
  std::string store_control_url;  ///< Answers while the store is down, too.
  std::unique_ptr<Process> store;
  std::unique_ptr<FaultNetwork> network;
  std::vector<Host> hosts;
  mutable std::atomic<int> commands = 0;
  int starts = 0;
  bool unread_output = false;
  std::vector<int> unread_pipes;
};

/// Records for the three-service chain used by most tests: `entry` (idempotent, class `status`),
/// `middle`, `deep`, and `filings` and `postings` (not idempotent, class `critical`).
std::string ChainRecords();

/// Records for one idempotent service (class `status`, which stays in its region) without retries.
std::string RecordsWithoutRetries(const std::string& service, int deadline_ms);

}  // namespace fireflyrun::integration
