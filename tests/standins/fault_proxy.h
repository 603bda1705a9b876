#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "tests/standins/fault_proxy_cut.h"
#include "tests/standins/fault_proxy_faults.h"
#include "tests/standins/fault_proxy_session.h"

namespace fireflyrun::standins {

/// A TCP proxy that injects faults, by direction, into existing or new connections. It never
/// changes a byte. Lives on one event loop.
class FaultProxy {
 public:
  enum class Direction { kToServer, kToClient };
  enum class Scope { kExisting, kNew, kAll };

  /// Whether a connection of `source` passes bytes to the server, and to the client.
  using CutRule = std::function<FaultProxyCut(const asio::ip::address& source)>;

  /// Listens on `listen_endpoint`; port 0 lets the system choose. Throws asio::system_error.
  FaultProxy(asio::io_context& event_loop, const asio::ip::tcp::endpoint& listen_endpoint,
             asio::ip::tcp::endpoint target_endpoint);
  /// Listens on 127.0.0.1; port 0 lets the system choose. Throws asio::system_error.
  FaultProxy(asio::io_context& event_loop, std::uint16_t listen_port,
             asio::ip::tcp::endpoint target_endpoint);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  std::uint16_t Port() const;
  void SetFaults(Direction direction, Scope scope, const FaultProxyFaults& faults);
  /// Existing connections pass nothing more, for good, and stay open; new ones work.
  void SilenceExisting();
  /// Resets existing connections at both ends.
  void ResetExisting();
  /// Refuses new connections and silences existing ones, until set to false.
  void SetCut(bool cut);
  /// Holds the bytes of the connections, existing and new, that `rule` names, until another rule
  /// lets them pass: as when a network loses packets and TCP sends them again.
  void SetCutRule(CutRule rule);
  /// Resets existing connections (a restarted process) and sends new ones to `target_endpoint`.
  void Retarget(asio::ip::tcp::endpoint target_endpoint);

  /// Runs one line: `fault to-server|to-client existing|new|all [delay MS] [rate BYTES] [drop]
  /// [hold]`, `silence`, `reset`, `cut on|off`. Returns "ok" or what is wrong.
  std::string RunCommand(std::string_view line);

  std::size_t Accepted() const { return this->accepted; }
  /// Bytes that wait in the proxy.
  std::size_t HeldBytes(Direction direction) const;

 private:
  using Session = std::shared_ptr<FaultProxySession>;

  void Listen();
  void Accept();
  void Open(asio::ip::tcp::socket client);
  void Connect(const Session& session);
  void ApplyCutRule(FaultProxySession& session) const;
  std::string RunFaultCommand(std::string_view arguments);
  FaultProxyFaults& NewFaults(Direction direction);

  asio::io_context& loop;
  asio::ip::tcp::endpoint target;
  asio::ip::tcp::endpoint listening;
  asio::ip::tcp::acceptor acceptor;
  FaultProxyFaults new_to_server;
  FaultProxyFaults new_to_client;
  CutRule cut_rule = [](const asio::ip::address&) { return FaultProxyCut(); };
  std::list<Session> sessions;
  std::size_t accepted = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace fireflyrun::standins
