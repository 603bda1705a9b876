#include "http/target_address.h"

#include <algorithm>
#include <cstdint>

#include "http/target_client_counters.h"
#include "http/target_client_options.h"
#include "http/target_connection.h"
#include "http/target_request.h"

namespace fireflyrun::http {
namespace {

/// Connections past their idle time are closed by so much later, several at once.
constexpr Duration kSweepStep = std::chrono::milliseconds(200);

/// How long a connection stays usable, well below the target's own timeout, so that no request
/// crosses the target's close.
Duration UsableTime(Duration timeout) {
  constexpr Duration kMargin = std::chrono::seconds(1);
  return timeout - std::max(timeout / 5, std::min(kMargin, timeout / 2));
}

asio::ip::tcp::endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const auto port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
  return {asio::ip::make_address(text.substr(0, colon)), port};
}

}  // namespace

TargetAddress::TargetAddress(const std::string& ip_and_port,
                             const TargetClientOptions& client_options,
                             TargetClientCounters& client_counters)
    : endpoint(ParseEndpoint(ip_and_port)), options(client_options), counters(client_counters) {}

TargetAddress::ConnectionPointer TargetAddress::TakeIdle(const TargetRequest& request) {
  const SteadyTime now = SteadyClock::now();
  for (std::size_t left = this->idle.size(); left > 0; --left) {
    const std::size_t position = left - 1;
    ConnectionPointer connection = this->idle[position];
    const Duration age = now - connection->idle_since;
    if (!request.repeatable && age >= this->options.unrepeatable_idle_limit) return nullptr;
    if (connection->HasFailed(request.echo_header.value)) continue;
    const bool in_time = now < connection->usable_until;
    const bool quiet = connection->IsQuiet();
    if (in_time && quiet) {
      this->idle.erase(this->idle.begin() + static_cast<std::ptrdiff_t>(position));
      return connection;
    }
    if (!quiet) ++this->counters.connections_found_dead;
    this->Close(position);
  }
  return nullptr;
}

SteadyTime TargetAddress::KeepIdle(const ConnectionPointer& connection,
                                   std::optional<Duration> keep_alive_timeout) {
  const Duration usable_time =
      keep_alive_timeout ? UsableTime(*keep_alive_timeout) : this->options.idle_limit;
  connection->idle_since = SteadyClock::now();
  connection->usable_until = connection->idle_since + usable_time;
  this->idle.push_back(connection);
  this->ApplyLimits();
  return connection->usable_until + kSweepStep;
}

void TargetAddress::CloseDead(const ConnectionPointer& connection) {
  const auto found = std::find(this->idle.begin(), this->idle.end(), connection);
  if (found == this->idle.end()) return;
  ++this->counters.connections_found_dead;
  this->Close(static_cast<std::size_t>(found - this->idle.begin()));
}

void TargetAddress::CloseExpired(SteadyTime now) {
  for (std::size_t left = this->idle.size(); left > 0; --left) {
    if (now >= this->idle[left - 1]->usable_until) this->Close(left - 1);
  }
}

void TargetAddress::CloseAll() {
  while (!this->idle.empty()) this->Close(this->idle.size() - 1);
}

void TargetAddress::ApplyLimits() {
  while (!this->idle.empty() && (this->idle.size() > this->options.max_idle_connections ||
                                 this->open_connections > this->options.max_connections)) {
    this->Close(0);
  }
}

bool TargetAddress::MakeRoom() {
  const bool full = this->open_connections >= this->options.max_connections;
  if (full && !this->idle.empty()) this->Close(0);
  return this->open_connections < this->options.max_connections;
}

SteadyTime TargetAddress::NextExpiry() const {
  SteadyTime earliest = SteadyTime::max();
  for (const ConnectionPointer& connection : this->idle) {
    earliest = std::min(earliest, connection->usable_until + kSweepStep);
  }
  return earliest;
}

void TargetAddress::Close(std::size_t position) {
  const auto place = this->idle.begin() + static_cast<std::ptrdiff_t>(position);
  (*place)->Close();
  this->idle.erase(place);
  --this->open_connections;
}

}  // namespace fireflyrun::http
