#include "tests/standins/metadata_standin.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace fireflyrun::standins {
namespace {

using Json = nlohmann::json;
using Tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds kTickPeriod(10);
constexpr int kHexBase = 16;

std::string DecodeQueryValue(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_escape = text[i] == '%' && i + 2 < text.size();
    if (!is_escape) {
      decoded += text[i];
      continue;
    }
    decoded += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, kHexBase));
    i += 2;
  }
  return decoded;
}

/// The value of a query parameter; empty when it is absent.
std::string Parameter(std::string_view target, const std::string& name) {
  std::size_t start = target.find('?');
  while (start != std::string_view::npos) {
    const std::string_view rest = target.substr(start + 1);
    if (rest.starts_with(name + "=")) {
      return DecodeQueryValue(rest.substr(name.size() + 1, rest.find('&') - name.size() - 1));
    }
    start = target.find('&', start + 1);
  }
  return {};
}

std::int64_t LastNumber(const std::string& path) {
  return std::stoll(path.substr(path.rfind('/') + 1));
}

}  // namespace

MetadataStandin::MetadataStandin(asio::io_context& event_loop, std::size_t items_of_page)
    : MetadataStandin(event_loop, std::make_shared<MetadataModel>(items_of_page)) {}

MetadataStandin::MetadataStandin(asio::io_context& event_loop,
                                 std::shared_ptr<MetadataModel> shared_model)
    : loop(event_loop),
      model(std::move(shared_model)),
      acceptor(event_loop),
      tick_timer(event_loop) {
  this->Listen();
  this->Tick();
}

MetadataStandin::~MetadataStandin() {
  this->alive.reset();
  for (const auto& weak : this->connections) {
    if (const auto open = weak.lock()) open->Close();
  }
}

void MetadataStandin::Listen() {
  this->acceptor.open(Tcp::v4());
  this->acceptor.set_option(Tcp::acceptor::reuse_address(true));
  this->acceptor.bind({asio::ip::address_v4::loopback(), this->port});
  this->acceptor.listen();
  this->port = this->acceptor.local_endpoint().port();
  this->Accept();
}

void MetadataStandin::Accept() {
  const std::weak_ptr<bool> guard = this->alive;
  this->acceptor.async_accept([this, guard](const asio::error_code& error, Tcp::socket socket) {
    if (guard.expired() || error) return;
    const auto connection = std::make_shared<StandinConnection>(
        std::move(socket),
        [this, guard](const ConnectionPointer& from, const StandinConnection::Request& request) {
          if (!guard.expired()) this->OnRequest(from, request);
        });
    this->connections.push_back(connection);
    connection->Start();
    this->Accept();
  });
}

void MetadataStandin::Respond(StandinConnection& connection, const MetadataAnswer& answer) {
  const std::string era = this->era_text.value_or(std::to_string(this->model->Era()));
  const std::string header = era.empty() ? "" : "Store-Era: " + era + "\r\n";
  connection.Respond(answer.status, answer.body.dump(), header);
}

std::map<std::string, std::string> MetadataStandin::GoBack(Duration age, Return how) {
  auto written = this->model->GoBack(age, SteadyClock::now());
  this->OnReturn(how);
  return written;
}

void MetadataStandin::OnReturn(Return how) {
  if (how == Return::kCut) this->CutWatches();
  if (how == Return::kSilent) {
    for (const Waiter& waiter : std::exchange(this->waiters, {})) {
      if (const auto open = waiter.connection.lock()) open->FallSilent();
    }
  }
  this->ServeWaiters();
}

void MetadataStandin::Tick() {
  this->tick_timer.expires_after(kTickPeriod);
  this->tick_timer.async_wait(
      [this, guard = std::weak_ptr<bool>(this->alive)](const asio::error_code& error) {
        if (guard.expired() || error) return;
        this->model->ExpireLeases(SteadyClock::now());
        this->model->TakeCopy(SteadyClock::now());
        std::erase_if(this->connections, [](const auto& weak) { return weak.expired(); });
        this->ServeWaiters();
        this->Tick();
      });
}

void MetadataStandin::After(std::chrono::milliseconds delay, std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(this->loop, delay);
  timer->async_wait([timer, guard = std::weak_ptr<bool>(this->alive),
                     action = std::move(action)](const asio::error_code& error) {
    if (!guard.expired() && !error) action();
  });
}

void MetadataStandin::SetFault(MetadataFault new_fault) {
  this->fault = new_fault;
  const bool is_down = new_fault.mode == MetadataFaultMode::kDown;
  if (is_down) this->acceptor.close();
  if (!is_down && !this->acceptor.is_open()) this->Listen();
  const auto open_connections = this->connections;
  for (const auto& weak : open_connections) {
    const auto open = weak.lock();
    if (open && is_down) open->Close();
    if (open && new_fault.mode == MetadataFaultMode::kSilent) open->FallSilent();
  }
}

std::int64_t MetadataStandin::Put(const std::string& key, const std::string& value) {
  const std::int64_t revision = this->model->Put(key, value);
  this->ServeWaiters();
  return revision;
}

void MetadataStandin::CutWatches() {
  for (const Waiter& waiter : std::exchange(this->waiters, {})) {
    if (const auto open = waiter.connection.lock()) open->Close();
  }
}

std::size_t MetadataStandin::OpenWatches() {
  std::erase_if(this->waiters, [](const Waiter& waiter) {
    const auto open = waiter.connection.lock();
    return !open || open->IsClosed();
  });
  return this->waiters.size();
}

int MetadataStandin::Calls(const std::string& path) const {
  return static_cast<int>(
      std::count_if(this->calls.begin(), this->calls.end(),
                    [&path](const std::string& call) { return call.starts_with(path); }));
}

void MetadataStandin::OnRequest(const ConnectionPointer& connection,
                                const StandinConnection::Request& request) {
  this->calls.push_back(request.target);
  const MetadataFault now = this->fault;
  if (now.mode != MetadataFaultMode::kOk && --this->fault.calls == 0) this->fault = {};
  switch (now.mode) {
    case MetadataFaultMode::kBusy:
      return this->Respond(*connection, {503, {}});
    case MetadataFaultMode::kThrottled:
      return this->Respond(*connection, {429, {}});
    case MetadataFaultMode::kDown:
    case MetadataFaultMode::kReset:
      return connection->Close();
    case MetadataFaultMode::kSilent:
      return connection->FallSilent();
    case MetadataFaultMode::kLoseAnswers:
      connection->FallSilent();
      return this->After(now.delay, [this, request] { this->Perform(request); });
    case MetadataFaultMode::kSlow:
      return this->After(now.delay, [this, connection, request] {
        this->Respond(*connection, this->Perform(request));
      });
    case MetadataFaultMode::kLateAnswers: {
      // Also what it tells of the era is as it was when the call was done.
      const MetadataAnswer answer = this->Perform(request);
      const std::string era = std::to_string(this->model->Era());
      return this->After(now.delay, [connection, answer, era] {
        connection->Respond(answer.status, answer.body.dump(), "Store-Era: " + era + "\r\n");
      });
    }
    case MetadataFaultMode::kOk:
      break;
  }
  if (request.target.starts_with("/kv-watch")) return this->OpenWatch(connection, request);
  this->Respond(*connection, this->Perform(request));
  this->ServeWaiters();
}

MetadataAnswer MetadataStandin::Perform(const StandinConnection::Request& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const std::string call = request.method + " " + path;
  const SteadyTime now = SteadyClock::now();
  if (call == "GET /kv-range") {
    return this->model->Range(Parameter(request.target, "prefix"),
                              Parameter(request.target, "after"));
  }
  if (call == "GET /kv-watch") {
    return this->model->Changes(Parameter(request.target, "prefix"),
                                std::stoll(Parameter(request.target, "after")));
  }
  if (call == "POST /kv-txn") return this->model->Transact(Json::parse(request.body));
  if (call == "POST /kv-lease") return this->model->GrantLease(Json::parse(request.body), now);
  if (call.starts_with("POST /kv-keep/")) return this->model->RenewLease(LastNumber(path), now);
  if (call.starts_with("DELETE /kv-lease-end/")) return this->model->EndLease(LastNumber(path));
  return {404, {{"error", "no such call"}}};
}

void MetadataStandin::OpenWatch(const ConnectionPointer& connection,
                                const StandinConnection::Request& request) {
  const std::chrono::milliseconds wait(std::stoll(Parameter(request.target, "waitMs")));
  this->waiters.push_back({connection, Parameter(request.target, "prefix"),
                           std::stoll(Parameter(request.target, "after")),
                           SteadyClock::now() + wait});
  this->ServeWaiters();
}

void MetadataStandin::ServeWaiters() {
  const SteadyTime now = SteadyClock::now();
  std::erase_if(this->waiters, [this, now](const Waiter& waiter) {
    const auto open = waiter.connection.lock();
    if (!open || open->IsClosed()) return true;
    const MetadataAnswer answer = this->model->Changes(waiter.prefix, waiter.after);
    const bool is_due = answer.status != 200 || !answer.body["events"].empty() || waiter.end <= now;
    if (is_due) this->Respond(*open, answer);
    return is_due;
  });
}

}  // namespace fireflyrun::standins
