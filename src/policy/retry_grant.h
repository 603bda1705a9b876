#pragma once

#include <cstdint>

namespace fireflyrun::policy {

/// Retries that one call grants to a call made for it.
struct RetryGrant {
  std::uint32_t id = 0;  ///< Unique among the grants of one `RetryAllotment`.
  std::uint32_t amount = 0;
};

}  // namespace fireflyrun::policy
