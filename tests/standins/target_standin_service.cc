#include "tests/standins/target_standin_service.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/problem.h"
#include "http/request_target.h"

namespace fireflyrun::standins {
namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{64} << 20;
constexpr std::chrono::seconds kCallTimeout(60);
constexpr std::string_view kRequestIdHeader = "X-Request-Id";
constexpr std::string_view kServiceTimeHeader = "X-Service-Time-Ms";
constexpr std::string_view kNotRunHeader = "X-Not-Run";
constexpr int kOk = 200;
constexpr int kFirstErrorStatus = 300;
constexpr int kBadRequest = 400;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

std::string HeaderOr(const http::Headers& headers, std::string_view name) {
  return std::string(http::FindHeader(headers, name).value_or(""));
}

http::Response JsonResponse(const nlohmann::json& body) {
  return {kOk, {{"Content-Type", "application/json"}}, body.dump()};
}

std::uint32_t Crc32(const std::string& bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

/// Appends to a key, inside its closing quote if it has one (the header is a structured string).
std::string ChildKey(std::string key, const std::string& suffix) {
  const bool quoted = key.size() > 1 && key.back() == '"';
  key.insert(quoted ? key.size() - 1 : key.size(), suffix);
  return key;
}

http::Response CallFailed(const http::ClientError& error) {
  const bool not_sent = error.kind == http::ClientErrorKind::kNotSent;
  return http::MakeProblem(kBadGateway, "call-failed", "A call failed", error.message,
                           {{"Firefly-Outcome", not_sent ? "not-run" : "unknown"}});
}

/// The child's problem, as the answer of the target that made the call.
http::Response CallRefused(const http::Response& answer) {
  http::Response response{kBadGateway, {}, answer.body};
  for (const char* name : {"Content-Type", "Firefly-Outcome", "Retry-After"}) {
    const auto value = http::FindHeader(answer.headers, name);
    if (value) response.headers.push_back({name, std::string(*value)});
  }
  return response;
}

}  // namespace

/// One request of the service, queued or running.
struct TargetService::Run {
  http::Request request;
  std::shared_ptr<http::Exchange> exchange;
  std::string key;
  std::string tag;
  RunLog::RunNumber number = 0;
  std::size_t next_call = 0;
  int attempts_left = 0;
  nlohmann::json children = nlohmann::json::array();
  TimerSubscription timer;
  http::Client::RequestId call = 0;
};

TargetService::TargetService(asio::io_context& event_loop, const TargetOptions& target_options,
                             TimerService& timer_service, http::Client& http_client)
    : options(target_options),
      timers(timer_service),
      client(http_client),
      server(event_loop,
             {.port = target_options.port, .max_body_bytes = kMaxBodyBytes, .max_connections = 0},
             [this](http::Request request, std::shared_ptr<http::Exchange> exchange) {
               this->Receive(std::move(request), std::move(exchange));
             }) {}

TargetService::~TargetService() = default;

bool TargetService::IsIdle() const {
  return this->queue.empty() && this->running.empty() && this->server.OpenExchanges() == 0;
}

std::string TargetService::DescribeRuns() const { return this->log.ToJson(true).dump(); }

std::string TargetService::Name() const {
  return this->options.service + "@" + std::to_string(this->Port());
}

void TargetService::Receive(http::Request request, std::shared_ptr<http::Exchange> exchange) {
  if (this->AnswerControl(request, *exchange)) return;
  if (this->faults.close_kept && request.sequence > 0) {
    this->server.CloseConnection(request.connection_id);
    return;
  }
  this->received += 1;
  if (this->faults.reject_every > 0 && this->received % this->faults.reject_every == 0) {
    exchange->Respond({kUnavailable, {{std::string(kNotRunHeader), "1"}}, ""});
    return;
  }
  auto run = std::make_shared<Run>();
  run->key = HeaderOr(request.headers, "Idempotency-Key");
  run->tag = HeaderOr(request.headers, "X-Request-Tag");
  run->request = std::move(request);
  run->exchange = std::move(exchange);
  const std::weak_ptr<Run> weak = run;
  run->exchange->OnCallerGone([this, weak] {
    if (const auto left = weak.lock()) this->CallerGone(left);
  });
  this->queue.push_back(std::move(run));
  this->StartNext();
}

bool TargetService::AnswerControl(const http::Request& request, http::Exchange& exchange) {
  if (request.method == "GET" && request.target == "/runs") {
    exchange.Respond(JsonResponse(this->log.ToJson(false)));
  } else if (request.method == "GET" && request.target == "/runs?full=1") {
    exchange.Respond(JsonResponse(this->log.ToJson(true)));
  } else if (request.method == "GET" && request.target == "/health") {
    exchange.Respond(this->Health());
  } else if (request.method == "POST" && request.target == "/fault") {
    exchange.Respond(this->SetFaults(request.body));
  } else {
    return false;
  }
  return true;
}

http::Response TargetService::SetFaults(const std::string& body) {
  try {
    const auto given = nlohmann::json::parse(body);
    TargetFaults changed = this->faults;
    changed.slow_factor = given.value("slow_factor", changed.slow_factor);
    changed.fail = given.value("fail", changed.fail);
    changed.hang = given.value("hang", changed.hang);
    changed.ignore_close = given.value("ignore_close", changed.ignore_close);
    changed.close_kept = given.value("close_kept", changed.close_kept);
    changed.reject_every = given.value("reject_every", changed.reject_every);
    changed.health = given.value("health", changed.health);
    this->faults = changed;
  } catch (const nlohmann::json::exception& error) {
    return http::MakeProblem(kBadRequest, "malformed-fault", "Malformed fault", error.what());
  }
  return JsonResponse({{"set", true}});
}

http::Response TargetService::Health() const {
  const bool faulty = this->faults.fail || this->faults.hang || this->faults.slow_factor > 1;
  const bool up = this->faults.health == "truth" ? !faulty : this->faults.health == "up";
  http::Response response = JsonResponse({{"up", up}, {"queue", this->queue.size()}});
  if (!up) response.status = kUnavailable;
  return response;
}

void TargetService::StartNext() {
  while (!this->queue.empty() && this->running.size() < this->options.slots) {
    const RunPointer run = this->queue.front();
    this->queue.pop_front();
    this->Begin(run);
  }
}

void TargetService::Begin(const RunPointer& run) {
  this->running.insert(run);
  run->number = this->log.Begin(run->key, run->tag);
  if (this->faults.hang) return;
  const auto time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->ServiceTime(run->request)) * this->faults.slow_factor);
  const std::weak_ptr<Run> weak = run;
  run->timer = this->timers.After(time, [this, weak] {
    if (const auto served = weak.lock()) this->CallNext(served);
  });
}

Duration TargetService::ServiceTime(const http::Request& request) const {
  const std::string given = HeaderOr(request.headers, kServiceTimeHeader);
  int milliseconds = 0;
  const auto end = given.data() + given.size();
  const auto [rest, error] = std::from_chars(given.data(), end, milliseconds);
  const bool is_number = error == std::errc() && rest == end && milliseconds >= 0;
  return is_number ? std::chrono::milliseconds(milliseconds) : this->options.service_time;
}

void TargetService::CallNext(const RunPointer& run) {
  if (this->faults.fail) {
    this->Finish(run, http::MakeProblem(kInternalError, "told-to-fail", "Told to fail", ""));
    return;
  }
  if (run->next_call < this->options.calls.size()) {
    run->attempts_left = this->options.retries;
    this->SendCall(run);
    return;
  }
  const std::string& body = run->request.body;
  this->Finish(run, JsonResponse({{"target", this->Name()},
                                  {"service", this->options.service},
                                  {"echo", run->tag},
                                  {"host", HeaderOr(run->request.headers, "Host")},
                                  {"path", run->request.target},
                                  {"body_bytes", body.size()},
                                  {"crc32", Crc32(body)},
                                  {"children", std::move(run->children)}}));
}

void TargetService::SendCall(const RunPointer& run) {
  const std::weak_ptr<Run> weak = run;
  run->call = this->client.Send(this->MakeCall(*run), [this, weak](auto answer) {
    if (const auto calling = weak.lock()) this->TakeAnswer(calling, std::move(answer));
  });
}

http::ClientRequest TargetService::MakeCall(const Run& run) const {
  const DownstreamCall& call = this->options.calls[run.next_call];
  const std::string suffix = "/" + std::to_string(run.next_call);
  http::ClientRequest request;
  request.method = run.request.method;
  request.url = "http://" + this->options.node_caller + "/" + call.service + call.path;
  request.timeout = kCallTimeout;
  request.headers = {{"X-Request-Tag", run.tag + suffix}};
  const auto handle = http::FindHeader(run.request.headers, "Firefly-Request");
  if (handle) request.headers.push_back({"Firefly-Request", std::string(*handle)});
  if (request.method != "POST") return request;
  request.body = "call " + std::to_string(run.next_call) + " for " + run.tag;
  if (!run.key.empty()) {
    request.headers.push_back({"Idempotency-Key", ChildKey(run.key, suffix)});
  }
  return request;
}

void TargetService::TakeAnswer(const RunPointer& run,
                               tl::expected<http::Response, http::ClientError> answer) {
  if (!this->running.contains(run)) return;
  run->call = 0;
  const bool whole = answer && answer->status < kFirstErrorStatus;
  if (!whole && run->attempts_left > 0) {
    --run->attempts_left;
    this->SendCall(run);
    return;
  }
  if (!answer) return this->Finish(run, CallFailed(answer.error()));
  if (!whole) return this->Finish(run, CallRefused(*answer));
  auto child = nlohmann::json::parse(answer->body, nullptr, false);
  if (child.is_discarded()) {
    this->Finish(run, http::MakeProblem(kBadGateway, "malformed-answer", "Malformed answer", "",
                                        {{"Firefly-Outcome", "ran"}}));
    return;
  }
  run->children.push_back(std::move(child));
  ++run->next_call;
  this->CallNext(run);
}

void TargetService::Finish(const RunPointer& run, http::Response response) {
  if (this->running.erase(run) == 0) return;
  this->log.Complete(run->number);
  const auto id = http::FindHeader(run->request.headers, kRequestIdHeader);
  if (id) response.headers.push_back({std::string(kRequestIdHeader), std::string(*id)});
  run->exchange->Respond(std::move(response));
  this->StartNext();
}

void TargetService::CallerGone(const RunPointer& run) {
  if (this->faults.ignore_close) return;
  if (this->running.erase(run) > 0) {
    this->log.Cancel(run->number);
    run->timer.Reset();
    this->client.Cancel(run->call);
    this->StartNext();
    return;
  }
  if (std::erase(this->queue, run) > 0) this->log.LeftQueue();
}

}  // namespace fireflyrun::standins
