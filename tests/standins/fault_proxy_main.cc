#include <getopt.h>
#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/address.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <charconv>
#include <iostream>
#include <istream>
#include <optional>
#include <string>
#include <string_view>

#include "tests/standins/fault_proxy.h"

namespace {

using fireflyrun::standins::FaultProxy;

constexpr int kUsageExitCode = 2;
constexpr std::string_view kUsage =
    "fault_proxy --listen PORT --to IP:PORT\n"
    "Prints its port, then runs a command for each line of standard input:\n"
    "  fault to-server|to-client existing|new|all [delay MS] [rate BYTES] [drop] [hold]\n"
    "  silence\n"
    "  reset\n"
    "  cut on|off\n"
    "The end of standard input ends it.\n";

struct Arguments {
  std::optional<std::uint16_t> listen;
  std::optional<asio::ip::tcp::endpoint> to;
};

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return port;
}

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  asio::error_code error;
  const auto address = asio::ip::make_address(text.substr(0, colon), error);
  const auto port = ParsePort(std::string_view(text).substr(colon + 1));
  if (error || !port) return std::nullopt;
  return asio::ip::tcp::endpoint(address, *port);
}

Arguments ParseArguments(int count, char** values) {
  const std::array options{option{"listen", required_argument, nullptr, 'l'},
                           option{"to", required_argument, nullptr, 't'}, option{}};
  Arguments arguments;
  int chosen = 0;
  while ((chosen = getopt_long(count, values, "", options.data(), nullptr)) != -1) {
    if (chosen == 'l') arguments.listen = ParsePort(optarg);
    if (chosen == 't') arguments.to = ParseEndpoint(optarg);
  }
  return arguments;
}

/// Runs the lines of standard input until it ends.
class CommandReader {
 public:
  CommandReader(asio::io_context& event_loop, FaultProxy& fault_proxy)
      : loop(event_loop), proxy(fault_proxy), input(event_loop, ::dup(STDIN_FILENO)) {}

  void Read() {
    asio::async_read_until(this->input, this->buffer, '\n',
                           [this](const asio::error_code& error, std::size_t) {
                             if (error) return this->loop.stop();
                             std::istream lines(&this->buffer);
                             std::string line;
                             std::getline(lines, line);
                             std::cout << this->proxy.RunCommand(line) << std::endl;
                             this->Read();
                           });
  }

 private:
  asio::io_context& loop;
  FaultProxy& proxy;
  asio::posix::stream_descriptor input;
  asio::streambuf buffer;
};

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = ParseArguments(argc, argv);
  if (!arguments.listen || !arguments.to) {
    std::cerr << kUsage;
    return kUsageExitCode;
  }
  asio::io_context loop;
  FaultProxy proxy(loop, *arguments.listen, *arguments.to);
  std::cout << proxy.Port() << std::endl;
  CommandReader reader(loop, proxy);
  reader.Read();
  loop.run();
  return 0;
}
