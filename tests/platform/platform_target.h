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

/// One request that a target ran, or refused because it was meant for another target.
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
struct TargetBehavior {
  int lost_runs = 0;  ///< First runs of each request, over all targets, that get no answer.
  std::chrono::milliseconds time_before_loss{0};
  bool hang = false;  ///< Requests run without end.
  bool announce = true;
  int status = 200;
  std::size_t answer_bytes = 100;
};

/// A stand-in for a target of the users' platform, on the event loop of its test. It echoes the
/// request's id, seals its answers, answers 421 to requests meant for another target, reports its
/// id in health responses, and announces itself to its node.
class PlatformTarget {
 public:
  struct Identity {
    std::string ip;
    std::string service;
    std::string id;
  };

  PlatformTarget(asio::io_context& loop, TimerService& timer_service, http::Client& http_client,
                 Identity target_identity, const TargetBehavior& shared_behavior,
                 TargetRuns& shared_runs);
  PlatformTarget(const PlatformTarget&) = delete;
  PlatformTarget& operator=(const PlatformTarget&) = delete;

  std::string Address() const;
  void AnnounceTo(const std::string& admin_address);
  /// Changes the target's id, as if another target had started at the same address.
  void ReplaceWith(const std::string& id) { this->identity.id = id; }
  const std::string& Id() const { return this->identity.id; }

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
  Identity identity;
  const TargetBehavior& behavior;
  TargetRuns& runs;
  http::Server server;
  std::string admin;
  int announcements = 0;
  TimerSubscription announcing;
  std::vector<TimerSubscription> losses;
  /// Kept open, since a dropped exchange is answered with 500.
  std::vector<ExchangePointer> unanswered;
};

}  // namespace fireflyrun::platform
