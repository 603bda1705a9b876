#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::store {

/// A kind of call to the store.
enum class StoreCall { kList, kCommit, kGrantLease, kKeepLeaseAlive, kRevokeLease, kWatch };

inline constexpr std::size_t kStoreCallCount = 6;

inline constexpr EnumNames kStoreCallNames(std::array{
    std::pair{StoreCall::kList, std::string_view("list")},
    std::pair{StoreCall::kCommit, std::string_view("commit")},
    std::pair{StoreCall::kGrantLease, std::string_view("grant-lease")},
    std::pair{StoreCall::kKeepLeaseAlive, std::string_view("keep-lease-alive")},
    std::pair{StoreCall::kRevokeLease, std::string_view("revoke-lease")},
    std::pair{StoreCall::kWatch, std::string_view("watch")},
});

/// Result of a call; the failures correspond to StoreErrorKind.
enum class StoreCallResult { kOk, kNotSent, kUnknown, kRejected, kNotNow, kCompacted };

inline constexpr std::size_t kStoreCallResultCount = 6;

inline constexpr EnumNames kStoreCallResultNames(std::array{
    std::pair{StoreCallResult::kOk, std::string_view("ok")},
    std::pair{StoreCallResult::kNotSent, std::string_view("not-sent")},
    std::pair{StoreCallResult::kUnknown, std::string_view("unknown")},
    std::pair{StoreCallResult::kRejected, std::string_view("rejected")},
    std::pair{StoreCallResult::kNotNow, std::string_view("not-now")},
    std::pair{StoreCallResult::kCompacted, std::string_view("compacted")},
});

}  // namespace fireflyrun::store
