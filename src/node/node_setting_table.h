#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/finding.h"
#include "node/node_settings.h"
#include "node/setting_spec.h"

namespace fireflyrun::node {

/// Declares every setting of `fireflyrun node`.
const std::vector<SettingSpec<NodeSettings>>& NodeSettingTable();

/// Looks up an environment variable.
using EnvironmentHook = std::function<std::optional<std::string>(const std::string& name)>;

/// Reads a whole file; nullopt when it can't be read.
using FileHook = std::function<std::optional<std::string>(const std::string& path)>;

/// Environment variable with the path of the settings file, which may change while the node runs.
inline constexpr std::string_view kSettingsFileVariable = "FIREFLYRUN_BOOT";

/// The settings file, overridden by the environment, both overridden by the flags. Every invalid
/// value is reported with its flag, variable or line; `wrong_usage` is set when the command line
/// itself can't be parsed.
struct ParsedNodeSettings {
  NodeSettings settings;
  Findings findings;
  std::map<std::string, std::string, std::less<>> values;  ///< Given values, by flag.
  std::string file;  ///< Path of the settings file; empty without one.
  bool wrong_usage = false;
  bool help = false;
};
ParsedNodeSettings ParseNodeSettings(int argc, char** argv, const EnvironmentHook& environment,
                                     const FileHook& read_file);

/// The help text of `fireflyrun node`, one line for each setting.
std::string NodeHelp();

}  // namespace fireflyrun::node
