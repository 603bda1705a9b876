#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/standins/metadata_model.h"
#include "tests/standins/standin_connection.h"

namespace fireflyrun::standins {

enum class MetadataFaultMode {
  kOk,
  kDown,         ///< Refuses connections and closes open ones.
  kBusy,         ///< Answers 503 and does nothing.
  kThrottled,    ///< Answers 429 and does nothing.
  kReset,        ///< Closes the connection of each call and does nothing.
  kSilent,       ///< Open connections fall silent for good, new ones while it lasts.
  kSlow,         ///< Answers after the delay.
  kLoseAnswers,  ///< Does each call, at once or after the delay, and says nothing on it ever.
  kLateAnswers,  ///< Does each call at once, and answers after the delay what it was then.
};

struct MetadataFault {
  MetadataFaultMode mode = MetadataFaultMode::kOk;
  std::chrono::milliseconds delay{0};
  int calls = std::numeric_limits<int>::max();  ///< How many calls it hits.
};

/// A stand-in for the platform's metadata store on the event loop of its test.
class MetadataStandin {
 public:
  MetadataStandin(asio::io_context& event_loop, std::size_t items_of_page);
  /// One more door to a store, with faults of its own: what the machines that call it here see.
  MetadataStandin(asio::io_context& event_loop, std::shared_ptr<MetadataModel> shared_model);
  ~MetadataStandin();
  MetadataStandin(const MetadataStandin&) = delete;
  MetadataStandin& operator=(const MetadataStandin&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }
  void SetFault(MetadataFault new_fault);
  MetadataModel& Model() { return *this->model; }
  /// Writes as the operator does, and tells the watches that wait.
  std::int64_t Put(const std::string& key, const std::string& value);
  /// Closes the connections of all watches that wait.
  void CutWatches();

  /// What its watches see when a store comes back from an older copy.
  enum class Return {
    kAtOnce,  ///< Watches go on to wait at the store as it is then.
    kCut,     ///< Their connections close.
    kSilent,  ///< Their connections stay open without a word, as if the store's host were another.
  };

  /// The store comes back from a copy that is at least `age` old. Gives what the operator and the
  /// targets had written; it is for the test to write it again, with Put().
  std::map<std::string, std::string> GoBack(Duration age, Return how);
  /// What GoBack() does to the watches: for a model that other doors share.
  void OnReturn(Return how);
  /// What answers tell as their era in place of the store's; an empty text leaves the header out.
  void SetEraText(std::optional<std::string> text) { this->era_text = std::move(text); }
  std::size_t OpenWatches();
  /// Calls since the start whose path begins with `path`.
  int Calls(const std::string& path) const;

 private:
  using ConnectionPointer = std::shared_ptr<StandinConnection>;
  struct Waiter {
    std::weak_ptr<StandinConnection> connection;
    std::string prefix;
    std::int64_t after = 0;
    SteadyTime end;
  };

  void Listen();
  void Accept();
  void Tick();
  void OnRequest(const ConnectionPointer& connection, const StandinConnection::Request& request);
  void OpenWatch(const ConnectionPointer& connection, const StandinConnection::Request& request);
  MetadataAnswer Perform(const StandinConnection::Request& request);
  void ServeWaiters();
  void Respond(StandinConnection& connection, const MetadataAnswer& answer);
  void After(std::chrono::milliseconds delay, std::function<void()> action);

  asio::io_context& loop;
  std::shared_ptr<MetadataModel> model;
  MetadataFault fault;
  std::uint16_t port = 0;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer tick_timer;
  std::vector<std::weak_ptr<StandinConnection>> connections;
  std::vector<Waiter> waiters;
  std::vector<std::string> calls;
  std::optional<std::string> era_text;
  /// Expires with the stand-in; whatever is queued on the loop checks it first.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace fireflyrun::standins
