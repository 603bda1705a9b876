// A load tool for tests: sends requests at a fixed rate, checks each answer, prints a JSON summary.

#include <asio/io_context.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "tests/standins/caller_standin_load.h"

namespace fireflyrun::standins {
namespace {

int Main(int argc, char** argv) {
  const auto options = ParseCallerOptions(argc, argv);
  if (!options) {
    std::cerr << FormatFindings(options.error());
    return 2;
  }
  asio::io_context loop;
  CallerLoad load(loop, *options);
  load.Start();
  loop.run();
  std::cout << load.Results().ToJson().dump() << std::endl;
  return 0;
}

}  // namespace
}  // namespace fireflyrun::standins

int main(int argc, char** argv) { return fireflyrun::standins::Main(argc, argv); }
