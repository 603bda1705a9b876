#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/load.h"
#include "bench/measure.h"
#include "bench/relay_mode.h"
#include "tests/integration/process.h"
#include "tests/integration/wait_until.h"

namespace {

using fireflyrun::bench::kRelayModeNames;
using fireflyrun::bench::LoadPlan;
using fireflyrun::bench::Note;
using fireflyrun::bench::RelayMode;
using fireflyrun::integration::Process;
using nlohmann::json;

constexpr double kSeconds = 4;
constexpr int kRounds = 3;
constexpr std::chrono::seconds kStartLimit{10};
constexpr const char* kFarAddress = "127.78.0.2:7412";

struct Way {
  std::string name;
  std::string address;
  std::vector<std::unique_ptr<Process>> processes;
  std::vector<double> medians;
  std::vector<double> tails;
};

std::string Folder() {
  std::string name = (std::filesystem::temp_directory_path() / "ways-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot make a folder");
  return name;
}

int ReadPort(const Process& process) {
  int port = 0;
  const bool ready = fireflyrun::integration::WaitUntil(kStartLimit, [&] {
    const json line = json::parse(process.Output(), nullptr, false);
    if (!line.is_object()) return false;
    port = line.value("port", 0);
    return port != 0;
  });
  if (!ready) throw std::runtime_error("a process does not start: " + process.ErrorOutput());
  return port;
}

Way StartWay(RelayMode mode, const std::string& target, const std::string& folder) {
  Way way;
  way.name = std::string(kRelayModeNames.NameOf(mode));
  const std::string number = std::to_string(static_cast<int>(mode));
  const std::string far = std::string(kFarAddress) + number;
  way.processes.push_back(
      std::make_unique<Process>(std::vector<std::string>{RELAY_PATH, "--mode", way.name, "--far",
                                                         "--listen", far, "--next", target},
                                folder + "/far-" + way.name));
  ReadPort(*way.processes.back());
  way.processes.push_back(
      std::make_unique<Process>(std::vector<std::string>{RELAY_PATH, "--mode", way.name, "--listen",
                                                         "127.78.0.1:0", "--next", far},
                                folder + "/near-" + way.name));
  way.address = "127.78.0.1:" + std::to_string(ReadPort(*way.processes.back()));
  return way;
}

/// The ways take turns, so that all meet the same noise.
void Measure(std::vector<Way>& ways, double rate) {
  for (Way& way : ways) way.medians = way.tails = {};
  for (int round = 0; round < kRounds; ++round) {
    for (Way& way : ways) {
      LoadPlan plan;
      plan.to = {way.address};
      plan.path = "/x";
      plan.rate = rate;
      plan.seconds = kSeconds;
      plan.expected_children = 0;
      const json summary = fireflyrun::bench::RunLoad(plan);
      way.medians.push_back(summary.at("latency_ms").at("p50").get<double>());
      way.tails.push_back(summary.at("latency_ms").at("p99").get<double>());
    }
  }
  const auto middle = [](std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
  };
  for (const Way& way : ways) {
    const std::string name =
        "ways_" + std::to_string(static_cast<int>(rate)) + "_per_s." + way.name;
    Note(name + "_p50", middle(way.medians), "ms");
    Note(name + "_p99", middle(way.tails), "ms");
  }
}

}  // namespace

/// Compares the ways in which two processes between a caller and its target could carry calls.
int main() {
  try {
    const std::string folder = Folder();
    Process target({TARGET_STANDIN_PATH, "--port", "0", "--service", "deep", "--slots", "90",
                    "--service-time-ms", "0"},
                   folder + "/target");
    const std::string address = "127.0.0.1:" + std::to_string(ReadPort(target));
    std::vector<Way> ways;
    ways.push_back({"direct", address, {}, {}, {}});
    for (const RelayMode mode : {RelayMode::kHttp, RelayMode::kTcp, RelayMode::kZeroMq}) {
      ways.push_back(StartWay(mode, address, folder));
    }
    constexpr double kUsualRate = 400;
    constexpr double kHighRate = 2000;
    Measure(ways, kUsualRate);
    Measure(ways, kHighRate);
    std::filesystem::remove_all(folder);
    return EXIT_SUCCESS;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ways_bench: %s\n", error.what());
    return EXIT_FAILURE;
  }
}
