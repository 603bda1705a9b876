#pragma once

namespace fireflyrun::http {

inline constexpr int kFirstServerErrorStatus = 500;

/// True for statuses by which a server says that it failed (RFC 9110, 5xx).
constexpr bool IsServerError(int status) { return status >= kFirstServerErrorStatus; }

}  // namespace fireflyrun::http
