#include <getopt.h>

#include <asio/signal_set.hpp>
#include <charconv>
#include <cstring>
#include <iostream>
#include <optional>

#include "tests/standins/store_standin_server.h"

namespace fireflyrun::standins {
namespace {

constexpr int kWrongUsage = 2;

constexpr const char* kHelp =
    "Usage: store_standin [--port PORT] [--history REVISIONS] [--progress-ms MILLISECONDS]\n"
    "Stands in for the key-value service on 127.0.0.1. Prints its ports as one line of JSON.\n"
    "POST /fault {\"mode\":\"ok|down|slow|lose_answers|hang\",\"delay_ms\":N,\"count\":N}\n"
    "GET /counters\n";

std::optional<long> ParseNumber(const char* text, long highest) {
  long value = 0;
  const char* end = text + std::strlen(text);
  const auto result = std::from_chars(text, end, value);
  if (result.ec != std::errc() || result.ptr != end || value < 0 || value > highest) {
    return std::nullopt;
  }
  return value;
}

bool ParseOption(int option, const char* text, StoreStandinOptions& options) {
  constexpr long kMaxPort = 65535;
  constexpr long kMaxNumber = 1'000'000'000;
  const auto value = ParseNumber(text, option == 'p' ? kMaxPort : kMaxNumber);
  if (!value) return false;
  if (option == 'p') options.port = static_cast<std::uint16_t>(*value);
  if (option == 'h') options.history_limit = static_cast<std::size_t>(*value);
  if (option == 'm') options.progress_period = std::chrono::milliseconds(*value);
  return true;
}

int Run(int argc, char** argv) {
  const option long_options[] = {{"port", required_argument, nullptr, 'p'},
                                 {"history", required_argument, nullptr, 'h'},
                                 {"progress-ms", required_argument, nullptr, 'm'},
                                 {nullptr, 0, nullptr, 0}};
  StoreStandinOptions options;
  for (int chosen = 0; (chosen = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
    if (chosen == '?' || !ParseOption(chosen, optarg, options)) {
      std::cerr << kHelp;
      return kWrongUsage;
    }
  }
  asio::io_context loop(1);
  StoreStandinServer server(loop, options);
  std::cout << nlohmann::json{{"port", server.Port()}, {"control_port", server.ControlPort()}}
            << std::endl;  // NOLINT(performance-avoid-endl): whoever waits reads this line.
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&loop](const asio::error_code&, int) { loop.stop(); });
  loop.run();
  return 0;
}

}  // namespace
}  // namespace fireflyrun::standins

int main(int argc, char** argv) { return fireflyrun::standins::Run(argc, argv); }
