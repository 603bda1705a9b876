#pragma once

#include <string_view>

namespace fireflyrun::node {

/// The caller's key for a non-idempotent call (IETF draft "The Idempotency-Key HTTP Header Field").
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

}  // namespace fireflyrun::node
