#include "node/target_request.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <string_view>

#include "node/target_address.h"
#include "node/wire_names.h"

namespace fireflyrun::node {
namespace {

constexpr std::array<std::string_view, 10> kConnectionHeaders = {
    "connection", "content-length",   "expect", "host",
    "keep-alive", "proxy-connection", "te",     "trailer",
    "upgrade",    "transfer-encoding"};
constexpr std::string_view kNodeHeaderPrefix = "firefly-";

bool EqualsIgnoringCase(std::string_view one, std::string_view other) {
  return one.size() == other.size() && strncasecmp(one.data(), other.data(), one.size()) == 0;
}

}  // namespace

bool IsConnectionOrNodeHeader(std::string_view name) {
  if (EqualsIgnoringCase(name.substr(0, kNodeHeaderPrefix.size()), kNodeHeaderPrefix)) return true;
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                     [name](std::string_view header) { return EqualsIgnoringCase(name, header); });
}

bool IsReplacedHeader(std::string_view name, const WireNames& wire) {
  return EqualsIgnoringCase(name, wire.deadline) || EqualsIgnoringCase(name, wire.handle) ||
         EqualsIgnoringCase(name, wire.expected_target) ||
         EqualsIgnoringCase(name, wire.caller_service);
}

http::TargetRequest BuildTargetRequest(const peer::Call& call, const TargetAddress& target,
                                       const Id128& handle, SteadyTime deadline,
                                       const WireNames& wire) {
  http::TargetRequest request;
  request.address = target.address;
  request.method = call.head.method();
  request.target = call.head.target();
  for (const auto& header : call.head.headers()) {
    request.headers.push_back({header.name(), header.value()});
    const bool is_id = EqualsIgnoringCase(header.name(), wire.request_id);
    if (is_id) request.echo_header = request.headers.back();
  }
  if (!wire.handle.empty()) request.headers.push_back({wire.handle, handle.ToHex()});
  if (!wire.expected_target.empty() && !target.id.empty()) {
    request.headers.push_back({wire.expected_target, target.id});
  }
  request.deadline = deadline;
  request.deadline_header = wire.deadline;
  request.repeatable = !call.head.at_most_once();
  return request;
}

void CopyAnswerHeaders(const http::Headers& headers, peer::pb::AnswerHead* head) {
  for (const auto& header : headers) {
    if (IsConnectionOrNodeHeader(header.name)) continue;
    auto* field = head->add_headers();
    field->set_name(header.name);
    field->set_value(header.value);
  }
}

}  // namespace fireflyrun::node
