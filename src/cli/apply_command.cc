#include "cli/apply_command.h"

#include <algorithm>
#include <iostream>
#include <utility>

#include "cli/exit_code.h"
#include "cli/operator_options.h"
#include "cli/operator_output.h"
#include "cli/operator_session.h"
#include "cli/record_file.h"
#include "records/record_checker.h"

namespace fireflyrun::cli {
namespace {

constexpr OperatorUsage kUsage{
    .synopsis = "apply FILE",
    .description =
        "Checks the records of FILE (\"-\" is standard input) and writes those that\n"
        "differ from the store's, all at one revision or none.",
    .min_arguments = 1,
    .max_arguments = 1,
    .writes = true,
    .takes_read_at = true};

/// A concurrent write to other records is not a conflict for the operator: the file is checked
/// again against the new state and the write retried, up to this many attempts in all.
constexpr int kMaxAttempts = 8;

/// Returns a conflict that lists the file's records that were changed after revision `read_at`.
store::ApplyOutcome FindLaterChanges(const std::vector<records::Record>& changed,
                                     const store::RecordListing& read, std::int64_t read_at) {
  store::ApplyOutcome outcome;
  outcome.kind = store::ApplyOutcomeKind::kConflict;
  outcome.message = "records were changed after revision " + std::to_string(read_at);
  for (const records::RecordEntry& entry : read.transfer.entries) {
    const auto has_key = [&entry](const records::Record& record) {
      return record.key == entry.key;
    };
    if (entry.revision <= read_at) continue;
    if (std::any_of(changed.begin(), changed.end(), has_key))
      outcome.current_entries.push_back(entry);
  }
  return outcome;
}

bool ShouldRetry(const store::ApplyOutcome& outcome) {
  return outcome.kind == store::ApplyOutcomeKind::kConflict && outcome.current_entries.empty();
}

}  // namespace

int RunApply(int argc, char** argv) {
  const auto options = ParseOperatorOptions(argc, argv, kUsage);
  if (!options) return options.error();
  const std::string& path = options->arguments[0];
  const auto text = ReadRecordFile(path);
  if (!text) {
    std::cerr << FormatFindings({text.error()});
    return kExitFailed;
  }
  OperatorSession session(*options);
  store::ApplyOutcome outcome;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto read = session.Read();
    if (!read) return ReportStoreError("The store's records could not be read", read.error());
    const auto checked = records::CheckRecords(path, *text, read->transfer.entries);
    if (!checked.findings.empty()) {
      std::cerr << FormatFindings(checked.findings);
      return kExitFailed;
    }
    if (options->read_at) {
      outcome = FindLaterChanges(checked.records, *read, *options->read_at);
      if (!outcome.current_entries.empty()) return ReportOutcome(outcome);
    }
    outcome = session.Apply(checked.records, *read);
    if (!ShouldRetry(outcome)) break;
  }
  const int code = ReportOutcome(outcome);
  if (code != kExitDone) return code;
  return WaitIfRequested(*options, session, outcome.revision);
}

}  // namespace fireflyrun::cli
