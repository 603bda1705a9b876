#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/finding.h"
#include "node/node_settings.h"
#include "node/setting_spec.h"

namespace fireflyrun::node {

/// The one table in which every setting of `fireflyrun node` is declared.
const std::vector<SettingSpec<NodeSettings>>& NodeSettingTable();

/// How to look up an environment variable.
using EnvironmentHook = std::function<std::optional<std::string>(const std::string& name)>;

/// Reads the environment, then the flags over it. Every wrong value is reported, with the flag or
/// variable it came from; `wrong_usage` is set when the command line itself cannot be understood.
struct ParsedNodeSettings {
  NodeSettings settings;
  Findings findings;
  bool wrong_usage = false;
  bool help = false;
};
ParsedNodeSettings ParseNodeSettings(int argc, char** argv, const EnvironmentHook& environment);

/// The help text of `fireflyrun node`, one line for each setting.
std::string NodeHelp();

}  // namespace fireflyrun::node
