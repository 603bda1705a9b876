#include "cli/fleet_client.h"

#include <asio/steady_timer.hpp>
#include <optional>
#include <utility>

namespace fireflyrun::cli {
namespace {

constexpr int kStatusOk = 200;
constexpr Duration kRequestTimeout = std::chrono::seconds(5);

}  // namespace

FleetClient::FleetClient(std::vector<std::string> admin_addresses)
    : addresses(std::move(admin_addresses)) {}

tl::expected<FleetReport, std::string> FleetClient::Fetch() {
  std::string last_error = "no node to query";
  for (std::size_t tried = 0; tried < this->addresses.size(); ++tried) {
    auto report = this->FetchFrom(this->addresses[this->current]);
    if (report) return report;
    last_error = this->addresses[this->current] + ": " + report.error();
    this->current = (this->current + 1) % this->addresses.size();
  }
  return tl::unexpected(std::move(last_error));
}

tl::expected<FleetReport, std::string> FleetClient::FetchFrom(const std::string& address) {
  http::ClientRequest request;
  request.url = "http://" + address + "/fleet";
  request.timeout = kRequestTimeout;
  std::optional<tl::expected<http::Response, http::ClientError>> result;
  this->client.Send(std::move(request), [&result](auto answer) { result = std::move(answer); });
  this->loop.restart();
  while (!result) {
    this->loop.run_one();
  }
  if (!*result) return tl::unexpected(result->error().message);
  const http::Response& response = **result;
  if (response.status != kStatusOk) {
    return tl::unexpected("status " + std::to_string(response.status));
  }
  return ParseFleetReport(response.body);
}

void FleetClient::Pause(Duration duration) {
  asio::steady_timer timer(this->loop, duration);
  bool passed = false;
  timer.async_wait([&passed](const asio::error_code&) { passed = true; });
  this->loop.restart();
  while (!passed) {
    this->loop.run_one();
  }
}

}  // namespace fireflyrun::cli
