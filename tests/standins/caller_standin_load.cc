#include "tests/standins/caller_standin_load.h"

#include <boost/crc.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "common/id128.h"
#include "common/random.h"

namespace fireflyrun::standins {
namespace {

constexpr std::size_t kMaxIdleConnections = 1024;
constexpr int kFirstErrorStatus = 300;

std::uint32_t Crc32(const std::string& bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

/// Counts the children at all depths whose tags continue their parents' tags; -1 if one does not.
std::int64_t CountChildren(const nlohmann::json& answer, const std::string& tag) {
  std::int64_t count = 0;
  const auto& children = answer.at("children");
  for (std::size_t i = 0; i < children.size(); ++i) {
    const std::string child_tag = tag + "/" + std::to_string(i);
    if (children[i].at("echo") != child_tag) return -1;
    const std::int64_t below = CountChildren(children[i], child_tag);
    if (below < 0) return -1;
    count += 1 + below;
  }
  return count;
}

}  // namespace

std::string CheckAnswer(const std::string& body, const std::string& tag,
                        const std::string& request_body, std::size_t expected_children) {
  try {
    const auto answer = nlohmann::json::parse(body);
    if (answer.at("echo") != tag) return "answer to " + answer.at("echo").dump() + ", not " + tag;
    if (answer.at("body_bytes") != request_body.size()) return "body size of " + tag + " differs";
    if (answer.at("crc32") != Crc32(request_body)) return "body digest of " + tag + " differs";
    const std::int64_t children = CountChildren(answer, tag);
    if (children == static_cast<std::int64_t>(expected_children)) return "";
    return tag + " has " + std::to_string(children) + " own children";
  } catch (const nlohmann::json::exception& error) {
    return tag + ": " + error.what();
  }
}

/// One request with its repeats.
struct CallerLoad::Call {
  const MixEntry* entry = nullptr;
  std::string tag;
  std::string body;
  SteadyTime due;
  int attempts_left = 0;
};

CallerLoad::CallerLoad(asio::io_context& event_loop, const CallerOptions& caller_options)
    : loop(event_loop),
      options(caller_options),
      client(event_loop, kMaxIdleConnections),
      timer(event_loop),
      run_name(Id128::Random().ToHex()) {}

void CallerLoad::Start() {
  this->begin = SteadyClock::now();
  this->end = this->begin + std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(this->options.seconds));
  this->next_due = this->begin;
  this->WaitForNext();
}

Duration CallerLoad::Gap() const {
  double seconds = 1 / this->options.rate;
  if (this->options.poisson) {
    seconds = std::exponential_distribution<double>(this->options.rate)(ThreadGenerator());
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void CallerLoad::WaitForNext() {
  this->timer.expires_at(this->next_due);
  this->timer.async_wait([this](const asio::error_code& error) {
    if (!error) this->SendDue();
  });
}

void CallerLoad::SendDue() {
  const SteadyTime now = SteadyClock::now();
  while (this->next_due <= now && this->next_due < this->end) {
    this->SendOne();
    this->next_due += this->Gap();
  }
  if (this->next_due < this->end) {
    this->WaitForNext();
  } else {
    this->StopWhenDone();
  }
}

void CallerLoad::SendOne() {
  auto call = std::make_shared<Call>();
  call->entry = &Draw(this->options.mix);
  call->tag = this->run_name + "-" + std::to_string(this->next_number++);
  call->body = std::string(call->entry->body_bytes, 'x');
  call->due = this->next_due;
  call->attempts_left = this->options.retries;
  ++this->open_calls;
  this->results.Sent(call->entry->label);
  this->Attempt(call);
}

void CallerLoad::Attempt(const CallPointer& call) {
  this->results.Attempted(call->entry->label);
  this->client.Send(this->MakeRequest(*call),
                    [this, call](const Answer& answer) { this->Take(call, answer); });
}

http::ClientRequest CallerLoad::MakeRequest(const Call& call) {
  const std::string& address = this->options.to[this->next_address++ % this->options.to.size()];
  http::ClientRequest request;
  request.method = call.entry->method;
  request.url = "http://" + address + this->options.prefix + call.entry->path;
  request.headers = this->options.headers;
  request.headers.push_back({"X-Request-Tag", call.tag});
  if (this->options.keys && request.method == "POST") {
    request.headers.push_back({"Idempotency-Key", "\"" + call.tag + "\""});
  }
  request.body = call.body;
  request.timeout = this->options.timeout;
  return request;
}

void CallerLoad::Take(const CallPointer& call, const Answer& answer) {
  const bool answered = answer && answer->status < kFirstErrorStatus;
  if (!answered && call->attempts_left > 0) {
    --call->attempts_left;
    this->Attempt(call);
    return;
  }
  this->Judge(*call, answer);
  --this->open_calls;
  this->StopWhenDone();
}

void CallerLoad::Judge(const Call& call, const Answer& answer) {
  const std::string& label = call.entry->label;
  if (!answer) {
    this->results.Failed(label, answer.error().kind);
    return;
  }
  if (answer->status >= kFirstErrorStatus) {
    const auto outcome =
        http::FindHeader(answer->headers, "Firefly-Outcome").value_or("no-outcome");
    this->results.Refused(label, std::to_string(answer->status) + " " + std::string(outcome));
    return;
  }
  const std::string problem =
      CheckAnswer(answer->body, call.tag, call.body, call.entry->expected_children);
  if (!problem.empty()) {
    this->results.Wrong(label, problem);
    return;
  }
  const SteadyTime now = SteadyClock::now();
  this->results.Whole(label, now - call.due, now - this->begin);
}

void CallerLoad::StopWhenDone() {
  if (this->next_due >= this->end && this->open_calls == 0) this->loop.stop();
}

}  // namespace fireflyrun::standins
