#include "cli/operator_output.h"

#include <iostream>

#include "cli/exit_code.h"
#include "cli/operator_options.h"
#include "cli/operator_session.h"
#include "cli/wait_in_force.h"

namespace fireflyrun::cli {
namespace {

void PrintCurrentEntries(const store::ApplyOutcome& outcome) {
  for (const records::RecordEntry& entry : outcome.current_entries) {
    std::cerr << "  " << records::FormatRecordKey(entry.key);
    if (entry.revision == 0) {
      std::cerr << " does not exist\n";
      continue;
    }
    std::cerr << " stands at revision " << entry.revision << (entry.retired ? ", retired" : "")
              << ":\n    " << entry.body << "\n";
  }
}

}  // namespace

int ReportStoreError(const std::string& what, const store::StoreError& error) {
  std::cerr << what << ": " << store::kStoreErrorKindNames.NameOf(error.kind) << ": "
            << error.message << "\n";
  return kExitFailed;
}

int ReportOutcome(const store::ApplyOutcome& outcome) {
  switch (outcome.kind) {
    case store::ApplyOutcomeKind::kCommitted:
      std::cout << "Written at revision " << outcome.revision << ":\n";
      for (const records::RecordKey& key : outcome.written) {
        std::cout << "  " << records::FormatRecordKey(key) << "\n";
      }
      return kExitDone;
    case store::ApplyOutcomeKind::kNothingToChange:
      std::cout << "Nothing to change; the records are at revision " << outcome.revision << ".\n";
      return kExitDone;
    case store::ApplyOutcomeKind::kConflict:
      std::cerr << "Nothing was written: " << outcome.message << ".\n";
      PrintCurrentEntries(outcome);
      return kExitFailed;
    case store::ApplyOutcomeKind::kNotApplied:
      std::cerr << "Nothing was written: " << outcome.message << "\n";
      return kExitFailed;
    case store::ApplyOutcomeKind::kUnknown:
      break;
  }
  std::cerr << "It is not known whether the change was written: " << outcome.message
            << ". Run the same command again to find out.\n";
  return kExitFailed;
}

int WaitIfRequested(const OperatorOptions& options, OperatorSession& session,
                    std::int64_t revision) {
  if (!options.wait) return kExitDone;
  const auto addresses = session.AdminAddresses();
  if (!addresses)
    return ReportStoreError("The roster of nodes could not be read", addresses.error());
  if (addresses->empty()) {
    std::cerr << "The roster has no node to query; give one with --admin.\n";
    return kExitFailed;
  }
  return WaitInForce(*addresses, revision, options.wait_timeout);
}

}  // namespace fireflyrun::cli
