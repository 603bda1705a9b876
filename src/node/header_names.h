#pragma once

#include <string_view>

namespace fireflyrun::node {

/// Names the call that a target is running; the target copies it onto its own calls.
inline constexpr std::string_view kRequestHeader = "Firefly-Request";
/// Milliseconds left, relative, so that no clocks are compared.
inline constexpr std::string_view kDeadlineHeader = "Firefly-Deadline-Ms";
/// On each refusal or failure: `not-run`, `ran` or `unknown`.
inline constexpr std::string_view kOutcomeHeader = "Firefly-Outcome";
/// The caller's key for a non-idempotent call (IETF draft "The Idempotency-Key HTTP Header Field").
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

}  // namespace fireflyrun::node
