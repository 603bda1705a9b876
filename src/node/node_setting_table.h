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

/// The one table in which every setting of `fireflyrun node` is declared.
const std::vector<SettingSpec<NodeSettings>>& NodeSettingTable();

/// How to look up an environment variable.
using EnvironmentHook = std::function<std::optional<std::string>(const std::string& name)>;

/// Reads a whole file; nullopt when it can't be read.
using FileHook = std::function<std::optional<std::string>(const std::string& path)>;

/// Environment variable with the path of a file of settings, which may change while the node runs.
inline constexpr std::string_view kSettingsFileVariable = "FIREFLYRUN_BOOT";

/// Reads the file of settings, the environment over it, then the flags over both. Every wrong value
/// is reported, with the flag or variable it came from; `wrong_usage` is set when the command line
/// itself cannot be understood.
struct ParsedNodeSettings {
  NodeSettings settings;
  Findings findings;
  std::map<std::string, std::string, std::less<>> values;  ///< By flag, those that were given.
  std::string file;  ///< Path of the file of settings; empty without one.
  bool wrong_usage = false;
  bool help = false;
};
ParsedNodeSettings ParseNodeSettings(int argc, char** argv, const EnvironmentHook& environment,
                                     const FileHook& read_file);

/// The help text of `fireflyrun node`, one line for each setting.
std::string NodeHelp();

}  // namespace fireflyrun::node
