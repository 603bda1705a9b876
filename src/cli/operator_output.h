#pragma once

#include <string>

#include "store/apply_outcome.h"
#include "store/store_error.h"

namespace fireflyrun::cli {

struct OperatorOptions;
class OperatorSession;

/// Prints a store error to standard error, prefixed with `what`; returns the exit code for it.
int ReportStoreError(const std::string& what, const store::StoreError& error);

/// Prints the outcome of a write; returns the exit code for it.
int ReportOutcome(const store::ApplyOutcome& outcome);

/// If the options have --wait, waits until `revision` is in force; returns the exit code.
int WaitIfRequested(const OperatorOptions& options, OperatorSession& session,
                    std::int64_t revision);

}  // namespace fireflyrun::cli
