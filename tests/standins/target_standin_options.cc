#include "tests/standins/target_standin_options.h"

#include <getopt.h>

#include <array>
#include <charconv>
#include <string_view>

namespace fireflyrun::standins {
namespace {

constexpr std::array<option, 9> kOptions = {{
    {"port", required_argument, nullptr, 'p'},
    {"service", required_argument, nullptr, 's'},
    {"node-admin", required_argument, nullptr, 'a'},
    {"node-caller", required_argument, nullptr, 'c'},
    {"slots", required_argument, nullptr, 'n'},
    {"service-time-ms", required_argument, nullptr, 't'},
    {"calls", required_argument, nullptr, 'd'},
    {"retries", required_argument, nullptr, 'r'},
    {nullptr, 0, nullptr, 0},
}};

template <typename Number>
void ReadNumber(const char* flag, std::string_view text, Number* out, Findings* findings) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *out);
  if (error == std::errc{} && end == text.data() + text.size() && *out >= Number{0}) return;
  findings->push_back({flag, "\"" + std::string(text) + "\" is not a number in range"});
}

std::vector<DownstreamCall> ReadCalls(std::string_view text, Findings* findings) {
  std::vector<DownstreamCall> calls;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view item = text.substr(0, comma);
    const std::size_t colon = item.find(":/");
    if (colon == std::string_view::npos || colon == 0) {
      findings->push_back({"--calls", "\"" + std::string(item) + "\" is not SERVICE:/PATH"});
    } else {
      calls.push_back({std::string(item.substr(0, colon)), std::string(item.substr(colon + 1))});
    }
    text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
  }
  return calls;
}

void ReadServiceTime(std::string_view text, TargetOptions* options, Findings* findings) {
  double milliseconds = 0;
  ReadNumber("--service-time-ms", text, &milliseconds, findings);
  options->service_time =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

void ReadOption(int letter, TargetOptions* options, Findings* findings) {
  switch (letter) {
    case 'p':
      return ReadNumber("--port", optarg, &options->port, findings);
    case 's':
      options->service = optarg;
      return;
    case 'a':
      options->node_admin = optarg;
      return;
    case 'c':
      options->node_caller = optarg;
      return;
    case 'n':
      return ReadNumber("--slots", optarg, &options->slots, findings);
    case 't':
      return ReadServiceTime(optarg, options, findings);
    case 'd':
      options->calls = ReadCalls(optarg, findings);
      return;
    case 'r':
      return ReadNumber("--retries", optarg, &options->retries, findings);
    default:
      findings->push_back({"command line", "unknown option"});
  }
}

}  // namespace

tl::expected<TargetOptions, Findings> ParseTargetOptions(int argc, char** argv) {
  TargetOptions options;
  Findings findings;
  for (int letter = 0; letter != -1;) {
    letter = getopt_long(argc, argv, "", kOptions.data(), nullptr);
    if (letter != -1) ReadOption(letter, &options, &findings);
  }
  if (optind < argc) findings.push_back({argv[optind], "unexpected argument"});
  if (options.slots == 0) findings.push_back({"--slots", "must be at least 1"});
  if (!options.calls.empty() && options.node_caller.empty()) {
    findings.push_back({"--calls", "needs --node-caller"});
  }
  if (!findings.empty()) return tl::make_unexpected(std::move(findings));
  return options;
}

}  // namespace fireflyrun::standins
