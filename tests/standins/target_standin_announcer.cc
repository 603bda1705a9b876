#include "tests/standins/target_standin_announcer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fireflyrun::standins {
namespace {

constexpr std::chrono::seconds kAnnouncePeriod(1);
/// While the target waits for its last calls.
constexpr std::chrono::milliseconds kLeavingPeriod(50);
constexpr int kFirstErrorStatus = 300;

/// The node has no call here and sends none. An answer that does not say counts as none.
bool SaysNoOpenCalls(const http::Response& answer) {
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  return !body.is_object() || body.value("open_calls", 0) == 0;
}

}  // namespace

Announcer::Announcer(const TargetOptions& target_options, std::uint16_t target_port,
                     TimerService& timer_service, http::Client& http_client)
    : options(target_options), port(target_port), timers(timer_service), client(http_client) {
  if (this->options.node_admin.empty()) return;
  this->timer = this->timers.Every(kAnnouncePeriod, [this] { this->Announce(); });
  this->Announce();
}

void Announcer::Leave(std::function<void()> told) {
  this->leaving = true;
  this->on_told = std::move(told);
  if (this->options.node_admin.empty()) {
    this->confirmation = this->timers.After(Duration::zero(), [this] { this->Confirm(); });
    return;
  }
  this->timer = this->timers.Every(kLeavingPeriod, [this] { this->Announce(); });
  this->Announce();
}

void Announcer::Announce() {
  const nlohmann::json body = {{"service", this->options.service},
                               {"address", "127.0.0.1:" + std::to_string(this->port)},
                               {"slots", this->options.slots},
                               {"state", this->leaving ? "leaving" : "serving"}};
  http::ClientRequest request;
  request.method = "PUT";
  request.url = "http://" + this->options.node_admin + "/target";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = body.dump();
  request.timeout = kAnnouncePeriod;
  const bool tells_leaving = this->leaving;
  this->client.Send(std::move(request), [this, tells_leaving](const auto& result) {
    // A node that cannot be reached carries no calls here either.
    const bool told = result ? result->status < kFirstErrorStatus && SaysNoOpenCalls(*result)
                             : result.error().kind == http::ClientErrorKind::kNotSent;
    if (tells_leaving && told) this->Confirm();
  });
}

void Announcer::Confirm() {
  if (const auto told = std::exchange(this->on_told, nullptr)) told();
}

}  // namespace fireflyrun::standins
