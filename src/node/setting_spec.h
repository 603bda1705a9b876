#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyrun::node {

/// One setting of a command: its flag, its environment variable, and the check of its value.
template <typename Settings>
struct SettingSpec {
  std::string_view flag;      ///< Without the leading dashes.
  std::string_view variable;  ///< Environment variable; the flag overrides it.
  std::string_view value_name;
  std::string_view help;
  /// Stores the value, or returns what is wrong with it and what is allowed.
  std::function<std::optional<std::string>(std::string_view value, Settings& settings)> store;
  /// True if a change applies while the command runs; other settings need a restart.
  bool live = false;
};

}  // namespace fireflyrun::node
