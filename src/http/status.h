#pragma once

namespace fireflyrun::http {

inline constexpr int kNoContent = 204;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kUriTooLong = 414;
inline constexpr int kExpectationFailed = 417;
inline constexpr int kHeadersTooLarge = 431;
inline constexpr int kFirstServerErrorStatus = 500;
inline constexpr int kInternalError = 500;
inline constexpr int kNotImplemented = 501;
inline constexpr int kServiceUnavailable = 503;
inline constexpr int kVersionNotSupported = 505;

/// True for statuses by which a server refuses a request or says that it failed (4xx and 5xx).
constexpr bool IsError(int status) { return status >= kBadRequest; }

/// True for statuses by which a server says that it failed (RFC 9110, 5xx).
constexpr bool IsServerError(int status) { return status >= kFirstServerErrorStatus; }

}  // namespace fireflyrun::http
