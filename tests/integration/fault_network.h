#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/standins/fault_proxy.h"

namespace fireflyrun::integration {

/// The network of a Fleet: every host's peer and control port is reached through a FaultProxy on
/// the host's advertised address, and every node reaches the store through a proxy of its own.
/// Nodes connect from their own address, by which a proxy knows who sends. Faults are named by
/// node or by zone. Runs on a thread of its own; every function may be called from the test's.
class FaultNetwork {
 public:
  /// Nodes and zones.
  using Names = std::set<std::string>;

  FaultNetwork();
  ~FaultNetwork();
  FaultNetwork(const FaultNetwork&) = delete;
  FaultNetwork& operator=(const FaultNetwork&) = delete;

  /// Opens the proxies of a host; the `IP:PORT` at which its node reaches the store.
  std::string AddHost(const std::string& node, const std::string& zone, const std::string& address,
                      const std::string& advertised, const std::string& store);

  /// No byte passes between hosts of `left` and of `right`, both ways, until Heal().
  void CutBetween(const Names& left, const Names& right);
  /// No byte passes from hosts of `from` to hosts of `to`; the other way they do.
  void CutOneWay(const Names& from, const Names& to);
  /// No byte passes between the hosts and the store.
  void CutStore(const Names& hosts);
  /// Ends all cuts, those of the store too, and every delay and rate cap.
  void Heal();

  /// Existing connections to the hosts pass nothing more, for good; new ones work.
  void SilenceExisting(const Names& hosts);
  /// Resets existing connections to the hosts at both ends.
  void Reset(const Names& hosts);
  /// Each byte to and from the hosts' ports takes this much longer, on connections old and new.
  void Delay(const Names& hosts, std::chrono::milliseconds delay);
  /// Caps each connection to the hosts, each way; 0 is no cap.
  void LimitRate(const Names& hosts, std::size_t bytes_per_second);

 private:
  struct Host {
    std::string node;
    std::string zone;
    asio::ip::address address;
    std::vector<std::unique_ptr<standins::FaultProxy>> ports;  ///< Of peers and of control.
    std::unique_ptr<standins::FaultProxy> store;
    bool store_cut = false;

    bool IsIn(const Names& names) const { return names.contains(node) || names.contains(zone); }
  };
  struct Cut {
    Names from;
    Names to;
  };

  /// Runs `work` on the network's thread and waits for it.
  void Run(const std::function<void()>& work);
  void ForEach(const Names& hosts, const std::function<void(standins::FaultProxy&)>& work);
  void SetFaults(const Names& hosts, const standins::FaultProxyFaults& faults);
  void ApplyCuts();
  bool IsCut(const Host& from, const Host& to) const;
  standins::FaultProxyCut CutOf(const asio::ip::address& source, const Host& server) const;

  asio::io_context loop;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Cut> cuts;
  std::thread thread;
};

}  // namespace fireflyrun::integration
