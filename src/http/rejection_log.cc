#include "http/rejection_log.h"

#include "common/log_event.h"

namespace fireflyrun::http {
namespace {

constexpr std::size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
constexpr std::size_t kStatusLength = 3;

std::string_view CauseOf(std::string_view status) {
  if (status == "408") return "request-too-slow";
  if (status == "413") return "body-too-large";
  if (status == "431") return "header-too-large";
  if (status == "503") return "too-many-connections";
  return "malformed-request";
}

}  // namespace

void LogRejection(std::string_view remote_address, std::string_view response) {
  LogEvent event(LogLevel::kInfo, "caller", "refused", LogUrgency::kFailure);
  if (!event.Active() || response.size() < kStatusAt + kStatusLength) return;
  const auto status = response.substr(kStatusAt, kStatusLength);
  event.Add("request", "none").Add("cause", CauseOf(status)).Add("outcome", "not-run");
  event.Add("status", status).Add("decided_by", "http").Add("caller", remote_address);
}

}  // namespace fireflyrun::http
