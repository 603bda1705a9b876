#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "common/timer_service.h"
#include "http/client.h"
#include "tests/integration/http_call.h"
#include "tests/integration/process.h"
#include "tests/platform/platform_target.h"
#include "tests/standins/metadata_standin.h"

namespace fireflyrun::platform {

/// Runs real nodes with the settings from the platform's template. Each has a local stand-in target
/// and its own endpoint of one shared metadata store. Targets and store run on a thread of the
/// test.
class PlatformFleet {
 public:
  struct Host {
    std::string node;
    std::string zone;
    std::string service;
  };

  /// Whether the nodes start with the fleet, or by StartNode() only.
  enum class Start { kAtOnce, kLater };

  explicit PlatformFleet(std::vector<Host> layout, Start start = Start::kAtOnce);
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  const std::vector<Host>& Hosts() const { return this->hosts; }
  void StartNode(std::size_t host);
  void KillNode(std::size_t host) { this->members[host].node->Kill(); }

  /// Writes the configuration to the store, as the operator does.
  void Configure(const nlohmann::json& configuration);
  /// Also closes the watches that wait at the host's store endpoint.
  void SetStoreFault(std::size_t host, standins::MetadataFaultMode mode);
  /// Runs `action` on the store's model, to change its content or what reads return.
  void OnModel(const std::function<void(standins::MetadataModel&)>& action);
  void CutWatches();
  /// The store comes back from a copy that is at least `age` old, for all hosts. Gives what the
  /// operator had written.
  std::map<std::string, std::string> GoBack(Duration age, standins::MetadataStandin::Return how);

  void SetBehavior(const TargetBehavior& new_behavior);
  void ReplaceTarget(std::size_t host, const std::string& id);
  std::string TargetId(std::size_t host);
  /// All requests that targets ran, in order; only those with `request_id` if it isn't empty.
  TargetRuns Runs(const std::string& request_id = "");
  /// Number of requests that targets refused with status 421.
  std::size_t CountMisdirected();

  /// Sends a request through the node's caller port with the Host header of the routes.
  integration::HttpAnswer Call(std::size_t host, const std::string& method, const std::string& path,
                               std::vector<std::string> headers = {}, std::string body = "") const;
  /// Announces a target to the node as another writer; returns the status.
  int Announce(std::size_t host, const std::string& id, std::string body) const;
  /// The status of the node's `GET /health`; 0 when it does not answer.
  int Health(std::size_t host) const;
  /// The node's resident memory, in bytes; 0 when it does not answer.
  std::uint64_t ResidentBytes(std::size_t host) const;
  /// The node's log so far, for the messages of failed tests.
  std::string Log(std::size_t host) const { return this->members[host].node->Output(); }

 private:
  struct Member {
    std::string ip;
    std::unique_ptr<standins::MetadataStandin> store;
    std::unique_ptr<PlatformTarget> target;
    std::unique_ptr<integration::Process> node;
  };

  void AddMember(const Host& host);
  std::string Settings(std::size_t host) const;
  /// Runs `action` on the thread of targets and store, and waits until it returns.
  void RunOnLoop(const std::function<void()>& action);

  std::vector<Host> hosts;
  std::string folder;
  std::string ip_prefix;
  int start_count = 0;
  asio::io_context loop{1};
  TimerService timers{this->loop};
  http::Client client{this->loop, 8};
  TargetBehavior behavior;
  TargetRuns runs;
  std::shared_ptr<standins::MetadataModel> model;
  std::vector<Member> members;
  asio::executor_work_guard<asio::io_context::executor_type> work{this->loop.get_executor()};
  std::thread thread;
};

}  // namespace fireflyrun::platform
