// Measures echo calls over LinkPool and LinkServer on loopback, with each end on its own thread.
// Usage: peer_link_bench [CALLS [BODY_BYTES [OUTSTANDING]]]; prints one line of figures.
#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "common/timer_service.h"
#include "peer/link_pool.h"
#include "peer/link_server.h"

namespace fireflyrun::peer {
namespace {

constexpr std::uint64_t kIncarnation = 1;
constexpr std::size_t kWarmUpCalls = 1000;

LinkOptions OptionsOf(std::string node) {
  LinkOptions options;
  options.cluster = "bench";
  options.node = std::move(node);
  options.incarnation = kIncarnation;
  return options;
}

/// The called node; echoes each call's body on its own thread.
class EchoNode {
 public:
  EchoNode()
      : server(
            this->timers, OptionsOf("b"),
            [](Call call, const LinkServer::Reply& reply) {
              Answer answer;
              answer.head.set_outcome(pb::OUTCOME_ANSWERED);
              answer.body = std::move(call.body);
              reply(std::move(answer));
            },
            nullptr) {
    if (const auto started = this->server.Start(); !started) std::abort();
    this->port = this->server.Port();
    this->thread = std::thread([this] { this->loop.run(); });
  }
  ~EchoNode() {
    this->loop.stop();
    this->thread.join();
  }
  EchoNode(const EchoNode&) = delete;
  EchoNode& operator=(const EchoNode&) = delete;

  std::uint16_t Port() const { return this->port; }

 private:
  asio::io_context loop{1};
  TimerService timers{this->loop};
  LinkServer server;
  std::uint16_t port = 0;
  std::thread thread;
};

/// Keeps a number of calls outstanding and records each round trip.
class Caller {
 public:
  Caller(std::uint16_t port, std::size_t body_bytes)
      : pool(this->timers, OptionsOf("a")),
        address{"b", kIncarnation, "127.0.0.1", port},
        body(body_bytes, 'x') {}

  std::vector<Duration> Run(std::size_t calls, std::size_t outstanding) {
    this->unsent = calls;
    this->round_trips.clear();
    this->round_trips.reserve(calls);
    for (std::size_t call = 0; call < std::min(calls, outstanding); ++call) this->SendOne();
    while (this->round_trips.size() < calls) this->loop.run_one();
    return std::move(this->round_trips);
  }

 private:
  void SendOne() {
    if (this->unsent == 0) return;
    --this->unsent;
    const SteadyTime start = SteadyClock::now();
    Call call;
    call.head.set_call_id(Id128::Random().ToBytes());
    call.head.set_service("bookings");
    call.head.set_method("POST");
    call.head.set_target("/bookings/1");
    call.body = this->body;
    this->pool.Send(this->address, std::move(call), start + std::chrono::seconds(10),
                    [this, start](const tl::expected<Answer, LinkError>& answer) {
                      if (!answer) std::abort();
                      this->round_trips.push_back(SteadyClock::now() - start);
                      this->SendOne();
                    });
  }

  asio::io_context loop{1};
  TimerService timers{this->loop};
  LinkPool pool;
  PeerAddress address;
  std::string body;
  std::size_t unsent = 0;
  std::vector<Duration> round_trips;
};

double PercentileUs(const std::vector<Duration>& sorted, double share) {
  const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return std::chrono::duration<double, std::micro>(sorted[index]).count();
}

std::size_t ArgumentOr(int count, char** values, int index, std::size_t default_value) {
  return count > index ? std::strtoul(values[index], nullptr, 10) : default_value;
}

}  // namespace
}  // namespace fireflyrun::peer

int main(int argc, char** argv) {
  using fireflyrun::SteadyClock;
  using fireflyrun::SteadyTime;
  using fireflyrun::peer::ArgumentOr;
  using fireflyrun::peer::Caller;
  using fireflyrun::peer::EchoNode;
  using fireflyrun::peer::kWarmUpCalls;
  using fireflyrun::peer::PercentileUs;
  const std::size_t calls = ArgumentOr(argc, argv, 1, 50'000);
  const std::size_t body_bytes = ArgumentOr(argc, argv, 2, 1024);
  const std::size_t outstanding = ArgumentOr(argc, argv, 3, 1);
  EchoNode node;
  Caller caller(node.Port(), body_bytes);
  caller.Run(kWarmUpCalls, outstanding);
  const SteadyTime start = SteadyClock::now();
  auto round_trips = caller.Run(calls, outstanding);
  const std::chrono::duration<double> elapsed = SteadyClock::now() - start;
  std::sort(round_trips.begin(), round_trips.end());
  std::cout << "calls=" << calls << " body_bytes=" << body_bytes << " outstanding=" << outstanding
            << " p50_us=" << PercentileUs(round_trips, 0.5)
            << " p99_us=" << PercentileUs(round_trips, 0.99)
            << " calls_per_s=" << static_cast<double>(calls) / elapsed.count() << "\n";
  return 0;
}
