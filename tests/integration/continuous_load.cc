#include "tests/integration/continuous_load.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

}  // namespace

bool ContinuousLoad::Result::IsWhole() const {
  if (this->answer.status != kOk) return false;
  const json body = json::parse(this->answer.body, nullptr, false);
  return body.is_object() && body.value("echo", "") == this->tag;
}

std::string ContinuousLoad::Result::Describe() const {
  return this->url + " " + this->tag + ": " + std::to_string(this->answer.status) + " " +
         this->answer.Header("firefly-outcome") + " " + this->answer.body + this->answer.error;
}

ContinuousLoad::ContinuousLoad(Options load_options) : options(std::move(load_options)) {
  int number = 0;
  for (const auto& url : this->options.urls) {
    for (int i = 0; i < this->options.threads_per_url; ++i) {
      this->threads.emplace_back([this, url, thread = number++] { this->Run(url, thread); });
    }
  }
}

ContinuousLoad::~ContinuousLoad() { this->Stop(); }

void ContinuousLoad::Stop() {
  this->stopping = true;
  for (auto& thread : this->threads) {
    if (thread.joinable()) thread.join();
  }
}

void ContinuousLoad::Run(const std::string& url, int thread_number) {
  for (int i = 0; !this->stopping; ++i) {
    const std::string tag =
        this->options.method + "-" + std::to_string(thread_number) + "-" + std::to_string(i);
    HttpCall call;
    call.method = this->options.method;
    call.url = url;
    call.headers = {"X-Request-Tag: " + tag};
    if (this->options.with_keys) call.headers.push_back("Idempotency-Key: " + tag);
    call.timeout = this->options.timeout;
    auto answer = MakeCall(call);
    const std::lock_guard lock(this->mutex);
    this->results.push_back({url, tag, std::move(answer)});
  }
}

std::size_t ContinuousLoad::Count() const {
  const std::lock_guard lock(this->mutex);
  return this->results.size();
}

std::vector<ContinuousLoad::Result> ContinuousLoad::Results() const {
  const std::lock_guard lock(this->mutex);
  return this->results;
}

std::string ContinuousLoad::Failures() const {
  constexpr int kMaxListed = 10;
  std::string text;
  int count = 0;
  for (const auto& result : this->Results()) {
    if (result.IsWhole() || ++count > kMaxListed) continue;
    text += result.Describe() + "\n";
  }
  if (count > kMaxListed) text += "and " + std::to_string(count - kMaxListed) + " more\n";
  return text;
}

}  // namespace fireflyrun::integration
