#include "http/problem.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace fireflyrun::http {

Response MakeProblem(int status, std::string_view reason, std::string_view title,
                     std::string_view detail, Headers extra_headers) {
  nlohmann::ordered_json body;
  body["type"] = "urn:fireflyrun:problem:" + std::string(reason);
  body["title"] = title;
  body["status"] = status;
  if (!detail.empty()) body["detail"] = detail;
  Response response;
  response.status = status;
  response.headers = std::move(extra_headers);
  response.headers.push_back({"Content-Type", "application/problem+json"});
  response.body = body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  return response;
}

}  // namespace fireflyrun::http
