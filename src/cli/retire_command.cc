#include "cli/retire_command.h"

#include <iostream>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "cli/exit_code.h"
#include "cli/operator_options.h"
#include "cli/operator_output.h"
#include "cli/operator_session.h"
#include "records/record_checker.h"

namespace fireflyrun::cli {
namespace {

constexpr OperatorUsage kUsage{
    .synopsis = "retire KIND/NAME[/vSCHEMA]...",
    .description =
        "Retires records, all at one revision or none: every schema of a name, or the\n"
        "one given. Refused while other records in force refer to one of them.",
    .min_arguments = 1,
    .max_arguments = records::kMaxRecordsPerFile,
    .writes = true};

/// A concurrent write to other records is not a conflict for the operator: the references are
/// checked again and the write retried, up to this many attempts in all.
constexpr int kMaxAttempts = 8;

/// Returns the keys that match the arguments; an argument without a match becomes a finding.
tl::expected<std::vector<records::RecordKey>, Findings> ChooseKeys(
    const std::vector<std::string>& arguments, const std::vector<records::RecordEntry>& known) {
  std::vector<records::RecordKey> keys;
  Findings findings;
  for (const std::string& argument : arguments) {
    const std::size_t keys_before = keys.size();
    for (const records::RecordEntry& entry : known) {
      const std::string key = records::FormatRecordKey(entry.key);
      const std::string name = key.substr(0, key.rfind('/'));
      if (!entry.retired && (argument == key || argument == name)) keys.push_back(entry.key);
    }
    if (keys.size() == keys_before) {
      findings.push_back({argument, "matches no record in force; allowed is KIND/NAME[/vSCHEMA]"});
    }
  }
  if (findings.empty()) {
    findings = records::CheckRetirement(keys, known);
  }
  if (!findings.empty()) return tl::unexpected(std::move(findings));
  return keys;
}

bool ShouldRetry(const store::ApplyOutcome& outcome) {
  return outcome.kind == store::ApplyOutcomeKind::kConflict && outcome.current_entries.empty();
}

}  // namespace

int RunRetire(int argc, char** argv) {
  const auto options = ParseOperatorOptions(argc, argv, kUsage);
  if (!options) return options.error();
  OperatorSession session(*options);
  store::ApplyOutcome outcome;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto read = session.Read();
    if (!read) return ReportStoreError("The store's records could not be read", read.error());
    const auto keys = ChooseKeys(options->arguments, read->transfer.entries);
    if (!keys) {
      std::cerr << FormatFindings(keys.error());
      return kExitFailed;
    }
    outcome = session.Retire(*keys, *read);
    if (!ShouldRetry(outcome)) break;
  }
  const int code = ReportOutcome(outcome);
  if (code != kExitDone) return code;
  return WaitIfRequested(*options, session, outcome.revision);
}

}  // namespace fireflyrun::cli
