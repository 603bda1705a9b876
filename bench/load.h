#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/integration/fleet.h"
#include "tests/integration/process.h"

namespace fireflyrun::bench {

/// The load that a caller stand-in sends.
struct LoadPlan {
  std::vector<std::string> to;  ///< IP:PORT each.
  double rate = 100;            ///< Requests per second.
  double seconds = 10;
  int retries = 0;  ///< Immediate retries by the caller.
  std::string path = "/calendar/notices";
  std::string class_mix;  ///< Replaces `path`; in the format of caller_standin's --class-mix.
  int expected_children = 2;
  double timeout_ms = 10'000;
};

/// A caller stand-in process that sends a load.
class Load {
 public:
  explicit Load(const LoadPlan& plan);

  /// Waits for the end and returns the JSON summary. Throws std::runtime_error without one.
  nlohmann::json Wait();

 private:
  std::string folder;
  double seconds;
  std::unique_ptr<integration::Process> process;
};

/// Runs one load to its end and returns the JSON summary.
nlohmann::json RunLoad(const LoadPlan& plan);

/// Mean goodput from second `from` up to, but excluding, second `to`, in whole answers per second.
double MeanGoodput(const nlohmann::json& summary, std::size_t from, std::size_t to);

}  // namespace fireflyrun::bench
