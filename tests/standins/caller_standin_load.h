#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "http/client.h"
#include "tests/standins/caller_standin_options.h"
#include "tests/standins/caller_standin_results.h"

namespace fireflyrun::standins {

/// Sends requests at the times that the rate sets, whatever the answers, and checks each answer.
/// Latency counts from the time a request was due, so that a late sender shows.
class CallerLoad {
 public:
  CallerLoad(asio::io_context& event_loop, const CallerOptions& caller_options);

  /// Starts; the loop is stopped after the last answer.
  void Start();

  const CallerResults& Results() const { return this->results; }

 private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;
  using Answer = tl::expected<http::Response, http::ClientError>;

  void WaitForNext();
  void SendDue();
  void SendOne();
  void Attempt(const CallPointer& call);
  http::ClientRequest MakeRequest(const Call& call);
  void Take(const CallPointer& call, const Answer& answer);
  void Judge(const Call& call, const Answer& answer);
  void StopWhenDone();
  Duration Gap() const;

  asio::io_context& loop;
  const CallerOptions& options;
  http::Client client;
  asio::steady_timer timer;
  CallerResults results;
  std::string run_name;
  SteadyTime begin;
  SteadyTime end;
  SteadyTime next_due;
  std::uint64_t next_number = 0;
  std::size_t next_address = 0;
  std::size_t open_calls = 0;
};

/// Empty when `body` is the whole answer to the request with this tag and body, else what is wrong.
std::string CheckAnswer(const std::string& body, const std::string& tag,
                        const std::string& request_body, std::size_t expected_children);

}  // namespace fireflyrun::standins
