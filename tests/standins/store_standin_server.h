#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "tests/standins/key_value_model.h"
#include "tests/standins/standin_connection.h"

namespace fireflyrun::standins {

enum class StoreFaultMode {
  kOk,
  kDown,         ///< Refuses connections and closes open ones.
  kSlow,         ///< Delays each answer and watch message.
  kLoseAnswers,  ///< Performs writes, then closes the connection without an answer.
  kHang,         ///< Open connections fall silent for good, new ones while it lasts.
};

inline constexpr EnumNames kStoreFaultModeNames(std::array{
    std::pair{StoreFaultMode::kOk, std::string_view("ok")},
    std::pair{StoreFaultMode::kDown, std::string_view("down")},
    std::pair{StoreFaultMode::kSlow, std::string_view("slow")},
    std::pair{StoreFaultMode::kLoseAnswers, std::string_view("lose_answers")},
    std::pair{StoreFaultMode::kHang, std::string_view("hang")},
});

struct StoreFault {
  StoreFaultMode mode = StoreFaultMode::kOk;
  std::chrono::milliseconds delay{0};  ///< For kSlow.
  int count = 0;                       ///< For kLoseAnswers: how many; 0 is all until changed.
};

struct StoreStandinOptions {
  std::uint16_t port = 0;
  std::size_t history_limit = 10'000;  ///< Revisions.
  std::chrono::milliseconds progress_period{1'000};
};

/// A stand-in for the platform's key-value service on one event loop. The control port takes
/// `POST /fault` and `GET /counters` also while the service is down; the service's port takes them
/// while it is up.
class StoreStandinServer {
 public:
  StoreStandinServer(asio::io_context& event_loop, StoreStandinOptions standin_options);
  ~StoreStandinServer();
  StoreStandinServer(const StoreStandinServer&) = delete;
  StoreStandinServer& operator=(const StoreStandinServer&) = delete;

  std::uint16_t Port() const { return this->port; }
  std::uint16_t ControlPort() const;
  void SetFault(StoreFault new_fault);
  KeyValueModel& Model() { return this->model; }
  /// Calls since the start by kind, lost and swallowed ones included.
  int Calls(const std::string& kind) const;

 private:
  using ConnectionPointer = std::shared_ptr<StandinConnection>;

  void Listen();
  void Accept(asio::ip::tcp::acceptor& acceptor);
  void Tick();
  void ForEachConnection(const std::function<void(StandinConnection&)>& visit);
  void OnRequest(const ConnectionPointer& connection, const StandinConnection::Request& request);
  void OnStoreRequest(const ConnectionPointer& connection, const std::string& path,
                      const nlohmann::json& request);
  void OnFaultRequest(const ConnectionPointer& connection, const nlohmann::json& request);
  void OpenWatch(const ConnectionPointer& connection, const nlohmann::json& request);
  bool TakesLostAnswer();
  void Send(const ConnectionPointer& connection, std::function<void(StandinConnection&)> send);
  nlohmann::json Counters() const;

  asio::io_context& loop;
  StoreStandinOptions options;
  KeyValueModel model;
  StoreFault fault;
  std::uint16_t port = 0;
  asio::ip::tcp::acceptor service_acceptor;
  asio::ip::tcp::acceptor control_acceptor;
  asio::steady_timer tick_timer;
  std::vector<std::weak_ptr<StandinConnection>> connections;
  std::map<std::string, int> calls;
  std::chrono::milliseconds since_progress{0};
  /// Expires with the server; whatever is queued on the loop checks it first.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace fireflyrun::standins
