// A target for tests: serves one service with slots, a queue and downstream calls.

#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "tests/standins/target_standin_announcer.h"
#include "tests/standins/target_standin_service.h"

namespace fireflyrun::standins {
namespace {

constexpr std::size_t kMaxIdleConnections = 256;
constexpr std::chrono::milliseconds kIdleCheckPeriod(5);

/// Ends the loop once the node knows that the target leaves and nothing runs any more.
void LeaveWhenIdle(asio::io_context& loop, const TargetService& service, Announcer& announcer,
                   TimerService& timers, TimerSubscription& idle_check) {
  announcer.Leave([&] {
    idle_check = timers.Every(kIdleCheckPeriod, [&] {
      if (service.IsIdle()) loop.stop();
    });
  });
}

int Main(int argc, char** argv) {
  const auto options = ParseTargetOptions(argc, argv);
  if (!options) {
    std::cerr << FormatFindings(options.error());
    return 2;
  }
  asio::io_context loop;
  TimerService timers(loop);
  http::Client client(loop, kMaxIdleConnections);
  TargetService service(loop, *options, timers, client);
  if (const auto started = service.Start(); !started) {
    std::cerr << started.error() << "\n";
    return 1;
  }
  Announcer announcer(*options, service.Port(), timers, client);
  TimerSubscription idle_check;
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code& error, int) {
    if (!error) LeaveWhenIdle(loop, service, announcer, timers, idle_check);
  });
  std::cout << "{\"port\":" << service.Port() << "}" << std::endl;
  loop.run();
  std::cout << service.DescribeRuns() << std::endl;
  return 0;
}

}  // namespace
}  // namespace fireflyrun::standins

int main(int argc, char** argv) { return fireflyrun::standins::Main(argc, argv); }
