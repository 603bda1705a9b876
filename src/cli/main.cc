#include <array>
#include <exception>
#include <iostream>
#include <string>
#include <string_view>

#include "cli/apply_command.h"
#include "cli/check_command.h"
#include "cli/exit_code.h"
#include "cli/explain_command.h"
#include "cli/get_command.h"
#include "cli/node_command.h"
#include "cli/retire_command.h"
#include "cli/status_command.h"

namespace {

using fireflyrun::cli::kExitDone;
using fireflyrun::cli::kExitFailed;
using fireflyrun::cli::kExitWrongUsage;

constexpr std::string_view kVersion = "0.1.0";

struct Subcommand {
  std::string_view name;
  std::string_view help;
  int (*run)(int argc, char** argv);
};

constexpr std::array<Subcommand, 7> kSubcommands = {{
    {"node", "run the node of this host", fireflyrun::cli::RunNode},
    {"check", "check a file of records", fireflyrun::cli::RunCheck},
    {"apply", "write the records of a file", fireflyrun::cli::RunApply},
    {"get", "print the records in the store", fireflyrun::cli::RunGet},
    {"retire", "retire a record", fireflyrun::cli::RunRetire},
    {"explain", "show from the logs why a request failed", fireflyrun::cli::RunExplain},
    {"status", "show zones, nodes and the records in force", fireflyrun::cli::RunStatus},
}};

void PrintHelp(std::ostream& out) {
  out << "Usage: fireflyrun SUBCOMMAND [FLAGS]\n\nSubcommands:\n";
  for (const auto& subcommand : kSubcommands) {
    out << "  " << subcommand.name << std::string(10 - subcommand.name.size(), ' ')
        << subcommand.help << '\n';
  }
  out << "\nfireflyrun SUBCOMMAND --help shows its flags; fireflyrun --version shows the "
         "version.\n";
}

int RunSubcommand(int argc, char** argv) {
  const std::string_view name = argv[1];
  for (const auto& subcommand : kSubcommands) {
    if (subcommand.name == name) return subcommand.run(argc - 1, argv + 1);
  }
  std::cerr << "fireflyrun: \"" << name << "\" is not a subcommand\n";
  PrintHelp(std::cerr);
  return kExitWrongUsage;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    PrintHelp(std::cerr);
    return kExitWrongUsage;
  }
  const std::string_view first = argv[1];
  if (first == "--help") {
    PrintHelp(std::cout);
    return kExitDone;
  }
  if (first == "--version") {
    std::cout << "fireflyrun " << kVersion << '\n';
    return kExitDone;
  }
  try {
    return RunSubcommand(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "fireflyrun: " << error.what() << '\n';
    return kExitFailed;
  }
}
