#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <tl/expected.hpp>
#include <unordered_set>

#include "common/timer_service.h"
#include "http/client.h"
#include "http/server.h"
#include "tests/standins/target_standin_faults.h"
#include "tests/standins/target_standin_options.h"
#include "tests/standins/target_standin_run_log.h"

namespace fireflyrun::standins {

/// The target itself: a server with slots and a first-in, first-out queue before them. A request
/// holds its slot for the service time and for its downstream calls, made one after another. A
/// request may name its own service time, `X-Service-Time-Ms`.
class TargetService {
 public:
  TargetService(asio::io_context& event_loop, const TargetOptions& target_options,
                TimerService& timer_service, http::Client& http_client);
  ~TargetService();
  TargetService(const TargetService&) = delete;
  TargetService& operator=(const TargetService&) = delete;

  tl::expected<void, std::string> Start() { return this->server.Start(); }
  std::uint16_t Port() const { return this->server.Port(); }

  /// True when nothing waits, runs or is being answered.
  bool IsIdle() const;

  /// What has run, in the form of `GET /runs?full=1`.
  std::string DescribeRuns() const;

 private:
  struct Run;
  using RunPointer = std::shared_ptr<Run>;

  void Receive(http::Request request, std::shared_ptr<http::Exchange> exchange);
  bool AnswerControl(const http::Request& request, http::Exchange& exchange);
  http::Response SetFaults(const std::string& body);
  http::Response Health() const;
  void StartNext();
  void Begin(const RunPointer& run);
  Duration ServiceTime(const http::Request& request) const;
  void CallNext(const RunPointer& run);
  void SendCall(const RunPointer& run);
  http::ClientRequest MakeCall(const Run& run) const;
  void TakeAnswer(const RunPointer& run, tl::expected<http::Response, http::ClientError> answer);
  void Finish(const RunPointer& run, http::Response response);
  void CallerGone(const RunPointer& run);
  std::string Name() const;

  const TargetOptions& options;
  TimerService& timers;
  http::Client& client;
  int received = 0;  ///< Requests of the service.
  TargetFaults faults;
  RunLog log;
  std::deque<RunPointer> queue;
  std::unordered_set<RunPointer> running;
  http::Server server;
};

}  // namespace fireflyrun::standins
