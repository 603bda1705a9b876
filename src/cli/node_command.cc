#include "cli/node_command.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "cli/exit_code.h"
#include "common/log.h"
#include "common/log_event.h"
#include "common/log_flusher.h"
#include "common/log_options.h"
#include "common/timer_service.h"
#include "node/node.h"
#include "node/node_setting_table.h"
#include "platform/adapter.h"

namespace fireflyrun::cli {
namespace {

std::optional<std::string> ReadEnvironmentVariable(const std::string& name) {
  const char* const value = std::getenv(name.c_str());
  if (value == nullptr) return std::nullopt;
  return std::string(value);
}

std::optional<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Stops the node on the first signal and the loop on the second.
class SignalHandler {
 public:
  SignalHandler(asio::io_context& event_loop, node::Node& stopped_node)
      : loop(event_loop), node(stopped_node), signals(event_loop, SIGTERM, SIGINT) {
    this->Wait();
  }

 private:
  void Wait() {
    this->signals.async_wait([this](const asio::error_code& error, int) {
      if (!error) this->OnSignal();
    });
  }

  void OnSignal() {
    if (this->stopping) {
      Log(LogLevel::kWarning, "node", "event=stopped-at-once");
      this->loop.stop();
      return;
    }
    this->stopping = true;
    Log(LogLevel::kInfo, "node", "event=stopping");
    this->node.Stop([this] { this->loop.stop(); });
    this->Wait();
  }

  asio::io_context& loop;
  node::Node& node;
  asio::signal_set signals;
  bool stopping = false;
};

int RunUntilStopped(const node::NodeSettings& settings) {
  InitializeLog({settings.node, settings.log_level, settings.log_lines});
  // One thread runs the loop, so Asio needs no locks.
  asio::io_context loop(1);
  TimerService log_timers(loop);
  const LogFlusher log_flusher(log_timers);
  const bool on_platform = settings.store_protocol == node::StoreProtocol::kPlatform;
  node::Node node(loop, settings, on_platform ? platform::MakeAdapter() : node::PlatformAdapter());
  if (const auto started = node.Start(); !started) {
    LogEvent(LogLevel::kError, "node", "cannot-start").Add("cause", started.error());
    return kExitFailed;
  }
  SignalHandler handler(loop, node);
  LogEvent(LogLevel::kInfo, "node", "started")
      .Add("zone", settings.zone)
      .Add("region", settings.region)
      .Add("cluster", settings.cluster)
      .Add("log_lines", settings.log_lines);
  loop.run();
  Log(LogLevel::kInfo, "node", "event=ended");
  return kExitDone;
}

}  // namespace

int RunNode(int argc, char** argv) {
  const auto parsed = node::ParseNodeSettings(argc, argv, ReadEnvironmentVariable, ReadWholeFile);
  if (parsed.help) {
    std::cout << node::NodeHelp();
    return kExitDone;
  }
  if (parsed.wrong_usage || !parsed.findings.empty()) {
    std::cerr << FormatFindings(parsed.findings) << "See fireflyrun node --help.\n";
    return kExitWrongUsage;
  }
  return RunUntilStopped(parsed.settings);
}

}  // namespace fireflyrun::cli
