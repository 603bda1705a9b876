#include "cli/check_command.h"

#include <iostream>

#include "cli/exit_code.h"
#include "cli/operator_options.h"
#include "cli/operator_output.h"
#include "cli/operator_session.h"
#include "cli/record_file.h"
#include "records/record_checker.h"

namespace fireflyrun::cli {
namespace {

constexpr OperatorUsage kUsage{
    .synopsis = "check FILE",
    .description =
        "Checks the records of FILE (\"-\" is standard input) and reports all findings.\n"
        "With a store, references may name its records; without one, only those of FILE.",
    .min_arguments = 1,
    .max_arguments = 1,
    .needs_store = false};

}  // namespace

int RunCheck(int argc, char** argv) {
  const auto options = ParseOperatorOptions(argc, argv, kUsage);
  if (!options) return options.error();
  const std::string& path = options->arguments[0];
  const auto text = ReadRecordFile(path);
  if (!text) {
    std::cerr << FormatFindings({text.error()});
    return kExitFailed;
  }
  std::vector<records::RecordEntry> known;
  if (!options->store_endpoints.empty()) {
    OperatorSession session(*options);
    auto read = session.Read();
    if (!read) return ReportStoreError("The store's records could not be read", read.error());
    known = std::move(read->transfer.entries);
  }
  const records::CheckedRecords checked = records::CheckRecords(path, *text, known);
  if (!checked.findings.empty()) {
    std::cerr << FormatFindings(checked.findings);
    return kExitFailed;
  }
  std::cout << checked.records.size() << " record(s) without findings.\n";
  return kExitDone;
}

}  // namespace fireflyrun::cli
