#include "cli/get_command.h"

#include <iomanip>
#include <iostream>
#include <string>

#include "cli/exit_code.h"
#include "cli/operator_options.h"
#include "cli/operator_output.h"
#include "cli/operator_session.h"

namespace fireflyrun::cli {
namespace {

constexpr OperatorUsage kUsage{
    .synopsis = "get [KIND[/NAME[/vSCHEMA]]]",
    .description =
        "Prints the records in the store, including retired ones, with the\n"
        "revision that last wrote each.",
    .max_arguments = 1,
    .takes_json = true};

constexpr int kRevisionColumn = 12;

bool IsSelected(const records::RecordEntry& entry, const std::string& selector) {
  const std::string key = records::FormatRecordKey(entry.key);
  return selector.empty() || key == selector || key.starts_with(selector + "/");
}

void PrintTable(const std::vector<records::RecordEntry>& selected, std::int64_t revision) {
  std::cout << "Records at revision " << revision << ":\n";
  for (const records::RecordEntry& entry : selected) {
    std::cout << std::right << std::setw(kRevisionColumn) << entry.revision << "  "
              << records::FormatRecordKey(entry.key) << (entry.retired ? "  (retired)" : "")
              << "\n              " << entry.body << "\n";
  }
}

void PrintJson(const std::vector<records::RecordEntry>& selected) {
  std::cout << "[";
  const char* separator = "\n";
  for (const records::RecordEntry& entry : selected) {
    if (entry.retired) continue;
    std::cout << separator << entry.body;
    separator = ",\n";
  }
  std::cout << "\n]\n";
}

}  // namespace

int RunGet(int argc, char** argv) {
  const auto options = ParseOperatorOptions(argc, argv, kUsage);
  if (!options) return options.error();
  const std::string selector = options->arguments.empty() ? "" : options->arguments[0];
  OperatorSession session(*options);
  const auto read = session.Read();
  if (!read) return ReportStoreError("The store's records could not be read", read.error());
  std::vector<records::RecordEntry> selected;
  for (const records::RecordEntry& entry : read->transfer.entries) {
    if (IsSelected(entry, selector)) selected.push_back(entry);
  }
  std::cerr << FormatFindings(read->problems);
  if (selected.empty() && !selector.empty()) {
    std::cerr << selector << ": no such record\n";
    return kExitFailed;
  }
  if (options->json) {
    PrintJson(selected);
  } else {
    PrintTable(selected, read->transfer.to_revision.number);
  }
  return kExitDone;
}

}  // namespace fireflyrun::cli
