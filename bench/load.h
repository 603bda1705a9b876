#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/integration/fleet.h"
#include "tests/integration/process.h"

namespace fireflyrun::bench {

/// What a caller stand-in is to send.
struct LoadPlan {
  std::vector<std::string> to;  ///< IP:PORT each.
  double rate = 100;            ///< Requests a second.
  double seconds = 10;
  int retries = 0;  ///< Immediate repeats by the caller.
  std::string path = "/calendar/notices";
  std::string class_mix;  ///< In place of `path`, as caller_standin takes it.
  int expected_children = 2;
  double timeout_ms = 10'000;
};

/// A caller stand-in process with its load.
class Load {
 public:
  explicit Load(const LoadPlan& plan);

  /// Waits for the end; the JSON summary. Throws std::runtime_error when there is none.
  nlohmann::json Wait();

 private:
  std::string folder;
  double seconds;
  std::unique_ptr<integration::Process> process;
};

/// Runs one load from its start to its end.
nlohmann::json RunLoad(const LoadPlan& plan);

/// Mean of the goodput series from second `from` up to second `to`, whole answers a second.
double MeanGoodput(const nlohmann::json& summary, std::size_t from, std::size_t to);

}  // namespace fireflyrun::bench
