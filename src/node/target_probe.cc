#include "node/target_probe.h"

#include <utility>

#include "common/clock.h"
#include "http/headers.h"
#include "node/wire_names.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kAnswerTimeout = std::chrono::seconds(1);
constexpr int kOkStatus = 200;
constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024;

}  // namespace

TargetProbe::TargetProbe(http::TargetClient& target_client, const WireNames& wire_names)
    : client(target_client), wire(wire_names) {}

TargetProbe::~TargetProbe() { this->client.Cancel(this->request); }

void TargetProbe::Send(const std::string& address, const std::string& path, Handler handler) {
  this->client.Cancel(this->request);
  http::TargetRequest probe_request;
  probe_request.address = address;
  probe_request.target = path;
  probe_request.deadline = SteadyClock::now() + kAnswerTimeout;
  probe_request.max_response_bytes = kMaxAnswerBytes;
  probe_request.repeatable = true;
  this->request = this->client.Send(
      std::move(probe_request),
      [this, handler = std::move(handler)](tl::expected<http::Response, http::ClientError> ended) {
        handler(this->Evaluate(ended));
      });
}

ProbeResult TargetProbe::Evaluate(
    const tl::expected<http::Response, http::ClientError>& ended) const {
  if (!ended) {
    const bool refused_connection = ended.error().kind == http::ClientErrorKind::kNotSent;
    return {refused_connection ? ProbeOutcome::kConnectionRefused : ProbeOutcome::kNoAnswer, ""};
  }
  const auto& headers = ended->headers;
  const auto id =
      this->wire.target_id.empty() ? std::nullopt : http::FindHeader(headers, this->wire.target_id);
  ProbeResult result{ProbeOutcome::kNotServing, std::string(id.value_or(""))};
  const bool not_run =
      !this->wire.not_run.empty() && http::FindHeader(headers, this->wire.not_run).has_value();
  if (not_run) result.outcome = ProbeOutcome::kBusy;
  if (ended->status == kOkStatus) result.outcome = ProbeOutcome::kServing;
  return result;
}

}  // namespace fireflyrun::node
