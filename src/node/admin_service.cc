#include "node/admin_service.h"

#include <utility>

#include "http/problem.h"

namespace fireflyrun::node {
namespace {

constexpr std::string_view kJson = "application/json";
constexpr std::string_view kTargetPath = "/target";
constexpr std::string_view kTargetWithId = "/target?id=";

/// Empty when the request has no id.
std::string_view TargetIdOf(const http::Request& request) {
  const std::string_view target = request.target;
  return target.starts_with(kTargetWithId) ? target.substr(kTargetWithId.size()) : "";
}

http::Response TextResponse(int status, std::string_view type, std::string body) {
  return {status, {{"Content-Type", std::string(type)}}, std::move(body)};
}

}  // namespace

AdminService::AdminService(Hooks service_hooks) : hooks(std::move(service_hooks)) {}

void AdminService::OnRequest(const http::Request& request,
                             const std::shared_ptr<http::Exchange>& exchange) {
  const bool get = request.method == "GET";
  const bool about_target =
      request.target == kTargetPath || request.target.starts_with(kTargetWithId);
  if (request.method == "PUT" && about_target) {
    this->OnAnnouncement(request, *exchange);
  } else if (request.method == "DELETE" && about_target) {
    this->hooks.on_departure(std::string(TargetIdOf(request)), ParseDepartedBorn(request.body));
    exchange->Respond(TextResponse(200, kJson, "{}"));
  } else if (get && request.target == "/metrics") {
    exchange->Respond(TextResponse(200, "text/plain; version=0.0.4", this->hooks.render_metrics()));
  } else if (get && request.target == "/fleet") {
    this->hooks.collect_fleet(
        [exchange](std::string json) { exchange->Respond(TextResponse(200, kJson, json)); });
  } else if (get && request.target == "/records") {
    exchange->Respond(TextResponse(200, kJson, this->hooks.describe_records()));
  } else if (get && request.target == "/targets") {
    exchange->Respond(TextResponse(200, kJson, this->hooks.describe_targets()));
  } else if (get && request.target == "/health") {
    const bool ready = this->hooks.ready();
    exchange->Respond(
        TextResponse(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n"));
  } else {
    exchange->Respond(http::MakeProblem(404, "unknown-path", "There is nothing at this path",
                                        request.method + " " + request.target));
  }
}

void AdminService::OnAnnouncement(const http::Request& request, http::Exchange& exchange) {
  const auto open_calls =
      ParseAnnouncement(TargetIdOf(request), request.body, this->hooks.service_record_name)
          .and_then(this->hooks.on_announcement);
  if (!open_calls) {
    exchange.Respond(http::MakeProblem(400, "bad-announcement", "The announcement is not valid",
                                       FormatFindings(open_calls.error())));
    return;
  }
  exchange.Respond(TextResponse(200, "application/json",
                                R"({"open_calls":)" + std::to_string(*open_calls) + "}"));
}

}  // namespace fireflyrun::node
