#pragma once

#include <string>

#include "store/apply_outcome.h"
#include "store/store_error.h"

namespace fireflyrun::cli {

struct OperatorOptions;
class OperatorSession;

/// Prints an error of the store on standard error; returns the exit code for it.
int ReportStoreError(const std::string& what, const store::StoreError& error);

/// Prints how a write ended; returns the exit code for it.
int ReportOutcome(const store::ApplyOutcome& outcome);

/// Waits for `revision` to be in force if the options ask for it; returns the exit code.
int WaitIfAsked(const OperatorOptions& options, OperatorSession& session, std::int64_t revision);

}  // namespace fireflyrun::cli
