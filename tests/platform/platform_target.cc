#include "tests/platform/platform_target.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace fireflyrun::platform {
namespace {

constexpr std::chrono::milliseconds kAnnouncePeriod(300);
constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20;
constexpr int kSlots = 40;
constexpr int kStatusMisdirected = 421;

}  // namespace

std::string TargetRun::Header(const std::string& name) const {
  return std::string(http::FindHeader(this->request.headers, name).value_or(""));
}

int TargetRun::CountHeader(const std::string& name) const {
  const auto& headers = this->request.headers;
  return static_cast<int>(std::count_if(
      headers.begin(), headers.end(),
      [&name](const http::Header& header) { return http::SameHeaderName(header.name, name); }));
}

PlatformTarget::PlatformTarget(asio::io_context& loop, TimerService& timer_service,
                               http::Client& http_client, Identity target_identity,
                               const TargetBehavior& shared_behavior, TargetRuns& shared_runs)
    : timers(timer_service),
      client(http_client),
      identity(std::move(target_identity)),
      behavior(shared_behavior),
      runs(shared_runs),
      server(loop, {.address = this->identity.ip, .max_body_bytes = kMaxBodyBytes},
             [this](http::Request request, const ExchangePointer& exchange) {
               this->Receive(std::move(request), exchange);
             }) {
  if (const auto started = this->server.Start(); !started) {
    throw std::runtime_error(started.error());
  }
}

std::string PlatformTarget::Address() const {
  return this->identity.ip + ":" + std::to_string(this->server.Port());
}

std::string PlatformTarget::Body(const std::string& service, const std::string& request_id,
                                 std::size_t bytes) {
  std::string body = service + "\n";
  while (body.size() < bytes) body += request_id + std::to_string(body.size()) + "\n";
  return body;
}

std::string PlatformTarget::Seal(const std::string& target_id, const std::string& request_id) {
  return "seal." + target_id + "." + request_id;
}

void PlatformTarget::Receive(http::Request request, const ExchangePointer& exchange) {
  if (request.target == "/healthz") {
    return exchange->Respond({200, {{"Instance-Id", this->identity.id}}, ""});
  }
  TargetRun run{this->identity.id, this->identity.service, std::move(request)};
  const std::string expected = run.Header("Expect-Instance");
  run.has_run = expected.empty() || expected == this->identity.id;
  this->runs.push_back(run);
  if (!run.has_run) {
    return exchange->Respond({kStatusMisdirected, {{"Request-Id", run.RequestId()}}, ""});
  }
  const auto run_count =
      std::count_if(this->runs.begin(), this->runs.end(), [&run](const TargetRun& other) {
        return other.has_run && other.RequestId() == run.RequestId();
      });
  if (run_count <= this->behavior.lost_runs) {
    return this->LoseAnswer(run.request.connection_id, exchange);
  }
  if (this->behavior.hang) return this->unanswered.push_back(exchange);
  this->Answer(run, exchange);
}

void PlatformTarget::Answer(const TargetRun& run, const ExchangePointer& exchange) const {
  const std::string id = run.RequestId();
  exchange->Respond({this->behavior.status,
                     {{"Request-Id", id}, {"Response-Seal", Seal(run.target_id, id)}},
                     Body(run.service, id, this->behavior.answer_bytes)});
}

void PlatformTarget::LoseAnswer(std::uint64_t connection, const ExchangePointer& exchange) {
  this->unanswered.push_back(exchange);
  this->losses.push_back(this->timers.After(this->behavior.time_before_loss, [this, connection] {
    this->server.CloseConnection(connection);
  }));
}

void PlatformTarget::AnnounceTo(const std::string& admin_address) {
  this->admin = admin_address;
  this->announcing = this->timers.Every(kAnnouncePeriod, [this] { this->Announce(); });
}

void PlatformTarget::Announce() {
  if (!this->behavior.announce) return;
  http::ClientRequest request;
  request.method = "PUT";
  request.url = "http://" + this->admin + "/target?id=" + this->identity.id;
  request.headers = {{"Content-Type", "application/json"}};
  request.timeout = std::chrono::seconds(1);
  request.body = nlohmann::json{{"service", this->identity.service},
                                {"address", this->Address()},
                                {"slots", kSlots},
                                {"state", "serving"},
                                {"cold_left", 0},
                                {"seq", ++this->announcements}}
                     .dump();
  this->client.Send(std::move(request), [](const auto&) {});
}

}  // namespace fireflyrun::platform
