#pragma once

#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::http {

/// How a request failed, by what the far end may have seen of it.
enum class ClientErrorKind {
  kNotSent,         ///< No connection was made: the far end saw nothing.
  kTimedOut,        ///< The time ran out after the connection was made.
  kConnectionLost,  ///< The connection broke after it was made.
  kTooLarge,        ///< The response is larger than the caller of the client accepts.
  kBadAnswer,       ///< What arrived is no proper answer to the request.
  kCancelled,       ///< Cancel() was called.
};

inline constexpr EnumNames kClientErrorKindNames(std::array{
    std::pair{ClientErrorKind::kNotSent, std::string_view("not-sent")},
    std::pair{ClientErrorKind::kTimedOut, std::string_view("timed-out")},
    std::pair{ClientErrorKind::kConnectionLost, std::string_view("connection-lost")},
    std::pair{ClientErrorKind::kTooLarge, std::string_view("too-large")},
    std::pair{ClientErrorKind::kBadAnswer, std::string_view("bad-answer")},
    std::pair{ClientErrorKind::kCancelled, std::string_view("cancelled")},
});

struct ClientError {
  ClientErrorKind kind = ClientErrorKind::kNotSent;
  std::string message;
};

}  // namespace fireflyrun::http
