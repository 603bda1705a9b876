#include "cli/node_command.h"

#include <sys/stat.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

#include "cli/exit_code.h"
#include "common/log.h"
#include "common/log_event.h"
#include "common/log_flusher.h"
#include "common/log_options.h"
#include "common/process_memory.h"
#include "common/timer_service.h"
#include "node/node.h"
#include "node/node_setting_table.h"
#include "node/settings_reloader.h"
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

std::optional<node::SettingsReloader::Stamp> ReadStamp(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) return std::nullopt;
  const auto modified = std::chrono::seconds(status.st_mtim.tv_sec) +
                        std::chrono::nanoseconds(status.st_mtim.tv_nsec);
  return node::SettingsReloader::Stamp{status.st_size, modified.count(), status.st_ino};
}

/// The node's command line. It takes precedence over the settings file, also after a reload.
struct CommandLine {
  int argc = 0;
  char** argv = nullptr;

  node::ParsedNodeSettings Parse(const node::FileHook& read_file) const {
    return node::ParseNodeSettings(this->argc, this->argv, ReadEnvironmentVariable, read_file);
  }
};

/// Runs one node as a process: event loop, signals and settings file.
class NodeProcess {
 public:
  NodeProcess(CommandLine command_line, node::ParsedNodeSettings parsed_settings)
      : command(command_line),
        parsed(std::move(parsed_settings)),
        // Constructed before the members below, so that an early signal doesn't end the process.
        signals(loop, SIGTERM, SIGINT, SIGHUP),
        timers(loop),
        log_flusher(timers),
        node(loop, this->parsed.settings, MakeAdapter(this->parsed.settings)) {}

  int Run() {
    const node::NodeSettings& settings = this->parsed.settings;
    if (const auto started = this->node.Start(); !started) {
      LogEvent(LogLevel::kError, "node", "cannot-start").Add("cause", started.error());
      return kExitFailed;
    }
    this->WaitForSignal();
    if (!this->parsed.file.empty()) this->WatchSettingsFile();
    LogEvent(LogLevel::kInfo, "node", "started")
        .Add("zone", settings.zone)
        .Add("region", settings.region)
        .Add("cluster", settings.cluster)
        .Add("log_lines", settings.log_lines);
    this->loop.run();
    Log(LogLevel::kInfo, "node", "event=ended");
    return kExitDone;
  }

 private:
  static node::PlatformAdapter MakeAdapter(const node::NodeSettings& settings) {
    const bool on_platform = settings.store_protocol == node::StoreProtocol::kPlatform;
    return on_platform ? platform::MakeAdapter() : node::PlatformAdapter();
  }

  void WatchSettingsFile() {
    node::SettingsReloader::Hooks hooks;
    hooks.stamp = [this] { return ReadStamp(this->parsed.file); };
    hooks.read = [this] { return ReadWholeFile(this->parsed.file); };
    hooks.parse = [this](const std::string& text) {
      return this->command.Parse([&text](const std::string&) { return text; });
    };
    hooks.apply = [this](const node::NodeSettings& settings) { this->node.Apply(settings); };
    this->reloader.emplace(this->timers, this->parsed, std::move(hooks));
  }

  void WaitForSignal() {
    this->signals.async_wait([this](const asio::error_code& error, int signal) {
      if (error) return;
      this->OnSignal(signal);
      this->WaitForSignal();
    });
  }

  void OnSignal(int signal) {
    if (signal == SIGHUP) {
      Log(LogLevel::kInfo, "node", "event=reloading");
      if (this->reloader) this->reloader->Reload();
      return;
    }
    if (!this->stopping) {
      this->stopping = true;
      Log(LogLevel::kInfo, "node", "event=stopping");
      this->node.Stop([this] { this->loop.stop(); });
      return;
    }
    // A second SIGINT, such as Ctrl-C at a terminal, stops at once; a second SIGTERM must not abort
    // calls in progress.
    if (signal != SIGINT) return;
    Log(LogLevel::kWarning, "node", "event=stopped-at-once");
    this->loop.stop();
  }

  CommandLine command;
  node::ParsedNodeSettings parsed;
  // One thread runs the loop, so Asio needs no locks.
  asio::io_context loop{1};
  asio::signal_set signals;
  TimerService timers;
  LogFlusher log_flusher;
  node::Node node;
  std::optional<node::SettingsReloader> reloader;
  bool stopping = false;
};

}  // namespace

int RunNode(int argc, char** argv) {
  // Ignores SIGHUP until the handler is installed. A reload request before that can be dropped, as
  // the settings have not been read yet.
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  ReturnLargeBlocks();
  const CommandLine command{argc, argv};
  auto parsed = command.Parse(ReadWholeFile);
  if (parsed.help) {
    std::cout << node::NodeHelp();
    return kExitDone;
  }
  if (parsed.wrong_usage || !parsed.findings.empty()) {
    std::cerr << FormatFindings(parsed.findings) << "See fireflyrun node --help.\n";
    return kExitWrongUsage;
  }
  InitializeLog({parsed.settings.node, parsed.settings.log_level, parsed.settings.log_lines});
  return NodeProcess(command, std::move(parsed)).Run();
}

}  // namespace fireflyrun::cli
