#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/timer_service.h"
#include "http/client.h"
#include "http/server.h"

namespace fireflyrun::platform {

/// One request that a target ran, or turned away since it was meant for another.
struct TargetRun {
  std::string target_id;
  std::string service;
  http::Request request;
  bool has_run = false;

  std::string Header(const std::string& name) const;
  int CountHeader(const std::string& name) const;
  std::string RequestId() const { return this->Header("Request-Id"); }
};

using TargetRuns = std::vector<TargetRun>;

/// How the targets of a test behave.
struct TargetBehaviour {
  int lost_runs = 0;  ///< So many first runs of each request, over all targets, get no answer.
  std::chrono::milliseconds time_before_loss{0};
  bool hang = false;  ///< Runs never end.
  bool announce = true;
  int status = 200;
  std::size_t answer_bytes = 100;
};

/// A target as the users' platform has them, on the event loop of its test: it echoes the request's
/// id, seals its answers, answers 421 to what is meant for another target, says its id when asked
/// for its health, and announces itself to its node.
class PlatformTarget {
 public:
  struct Place {
    std::string ip;
    std::string service;
    std::string id;
  };

  PlatformTarget(asio::io_context& loop, TimerService& timer_service, http::Client& http_client,
                 Place target_place, const TargetBehaviour& shared_behaviour,
                 TargetRuns& shared_runs);
  PlatformTarget(const PlatformTarget&) = delete;
  PlatformTarget& operator=(const PlatformTarget&) = delete;

  std::string Address() const;
  void AnnounceTo(const std::string& admin_address);
  /// Another target is here from now on, as after a start of a new one at the same address.
  void ReplaceBy(const std::string& id) { this->place.id = id; }
  const std::string& Id() const { return this->place.id; }

  static std::string Body(const std::string& service, const std::string& request_id,
                          std::size_t bytes);
  static std::string Seal(const std::string& target_id, const std::string& request_id);

 private:
  using ExchangePointer = std::shared_ptr<http::Exchange>;

  void Receive(http::Request request, const ExchangePointer& exchange);
  void Answer(const TargetRun& run, const ExchangePointer& exchange) const;
  void LoseAnswer(std::uint64_t connection, const ExchangePointer& exchange);
  void Announce();

  TimerService& timers;
  http::Client& client;
  Place place;
  const TargetBehaviour& behaviour;
  TargetRuns& runs;
  http::Server server;
  std::string admin;
  int announcements = 0;
  TimerSubscription announcing;
  std::vector<TimerSubscription> losses;
  std::vector<ExchangePointer> unanswered;  ///< One that is dropped would be answered 500.
};

}  // namespace fireflyrun::platform
