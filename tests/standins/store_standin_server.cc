#include "tests/standins/store_standin_server.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace fireflyrun::standins {
namespace {

using Json = nlohmann::json;
using Tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds kTickPeriod(50);

Tcp::endpoint LocalEndpoint(std::uint16_t port) { return {asio::ip::address_v4::loopback(), port}; }

void Open(Tcp::acceptor& acceptor, std::uint16_t port) {
  acceptor.open(Tcp::v4());
  acceptor.set_option(Tcp::acceptor::reuse_address(true));
  acceptor.bind(LocalEndpoint(port));
  acceptor.listen();
}

bool IsWrite(const std::string& path) { return path != "/v3/kv/range"; }

}  // namespace

StoreStandinServer::StoreStandinServer(asio::io_context& event_loop,
                                       StoreStandinOptions standin_options)
    : loop(event_loop),
      options(standin_options),
      model(standin_options.history_limit),
      port(standin_options.port),
      service_acceptor(event_loop),
      control_acceptor(event_loop),
      tick_timer(event_loop) {
  this->Listen();
  Open(this->control_acceptor, 0);
  this->Accept(this->control_acceptor);
  this->Tick();
}

StoreStandinServer::~StoreStandinServer() {
  this->alive.reset();
  this->ForEachConnection([](StandinConnection& connection) { connection.Close(); });
}

std::uint16_t StoreStandinServer::ControlPort() const {
  return this->control_acceptor.local_endpoint().port();
}

int StoreStandinServer::Calls(const std::string& kind) const {
  const auto found = this->calls.find(kind);
  return found == this->calls.end() ? 0 : found->second;
}

void StoreStandinServer::Listen() {
  Open(this->service_acceptor, this->port);
  this->port = this->service_acceptor.local_endpoint().port();
  this->Accept(this->service_acceptor);
}

void StoreStandinServer::Accept(Tcp::acceptor& acceptor) {
  const std::weak_ptr<bool> guard = this->alive;
  acceptor.async_accept([this, guard, &acceptor](const asio::error_code& error,
                                                 Tcp::socket socket) {
    if (guard.expired() || error) return;
    const auto connection = std::make_shared<StandinConnection>(
        std::move(socket),
        [this, guard](const ConnectionPointer& from, const StandinConnection::Request& request) {
          if (!guard.expired()) this->OnRequest(from, request);
        });
    const bool is_service = &acceptor == &this->service_acceptor;
    if (is_service) this->connections.push_back(connection);
    connection->Start();
    this->Accept(acceptor);
  });
}

void StoreStandinServer::Tick() {
  this->tick_timer.expires_after(kTickPeriod);
  this->tick_timer.async_wait(
      [this, guard = std::weak_ptr<bool>(this->alive)](const asio::error_code& error) {
        if (guard.expired() || error) return;
        this->model.ExpireLeases(SteadyClock::now());
        this->since_progress += kTickPeriod;
        if (this->since_progress >= this->options.progress_period) {
          this->since_progress = std::chrono::milliseconds::zero();
          this->model.SendProgress();
        }
        std::erase_if(this->connections, [](const auto& weak) { return weak.expired(); });
        this->Tick();
      });
}

void StoreStandinServer::ForEachConnection(const std::function<void(StandinConnection&)>& visit) {
  const auto copy = this->connections;
  for (const auto& weak : copy) {
    if (const auto connection = weak.lock()) visit(*connection);
  }
}

void StoreStandinServer::SetFault(StoreFault new_fault) {
  this->fault = new_fault;
  const bool is_down = new_fault.mode == StoreFaultMode::kDown;
  if (is_down && this->service_acceptor.is_open()) this->service_acceptor.close();
  if (!is_down && !this->service_acceptor.is_open()) this->Listen();
  if (is_down) this->ForEachConnection([](StandinConnection& open) { open.Close(); });
  if (new_fault.mode == StoreFaultMode::kHang) {
    this->ForEachConnection([](StandinConnection& open) { open.FallSilent(); });
  }
}

void StoreStandinServer::OnRequest(const ConnectionPointer& connection,
                                   const StandinConnection::Request& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (request.target == "/counters") {
    connection->Respond(200, this->Counters().dump());
  } else if (request.target == "/fault") {
    this->OnFaultRequest(connection, body);
  } else {
    this->OnStoreRequest(connection, request.target, body);
  }
}

void StoreStandinServer::OnFaultRequest(const ConnectionPointer& connection, const Json& request) {
  const auto mode = request.is_object()
                        ? kStoreFaultModeNames.ValueOf(request.value("mode", std::string()))
                        : std::nullopt;
  if (!mode) {
    connection->Respond(400, R"({"error":"allowed modes: ok, down, slow, lose_answers, hang"})");
    return;
  }
  // Answered before the fault can close or silence this connection.
  connection->Respond(200, "{}");
  const StoreFault new_fault{*mode, std::chrono::milliseconds(request.value("delay_ms", 0)),
                             request.value("count", 0)};
  asio::post(this->loop, [this, guard = std::weak_ptr<bool>(this->alive), new_fault] {
    if (!guard.expired()) this->SetFault(new_fault);
  });
}

void StoreStandinServer::OnStoreRequest(const ConnectionPointer& connection,
                                        const std::string& path, const Json& request) {
  ++this->calls[path];
  if (this->fault.mode == StoreFaultMode::kHang) {
    connection->FallSilent();
    return;
  }
  const SteadyTime now = SteadyClock::now();
  ModelAnswer answer;
  if (path == "/v3/watch") {
    this->OpenWatch(connection, request);
    return;
  }
  if (path == "/v3/kv/range") {
    answer = this->model.Range(request);
  } else if (path == "/v3/kv/txn") {
    answer = this->model.Transact(request);
  } else if (path == "/v3/lease/grant") {
    answer = this->model.GrantLease(request, now);
  } else if (path == "/v3/lease/keepalive") {
    answer = this->model.KeepLeaseAlive(request, now);
  } else if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
    answer = this->model.RevokeLease(request);
  } else {
    answer = {404, {{"error", "no such path"}}};
  }
  if (IsWrite(path) && this->TakesLostAnswer()) {
    connection->Close();
    return;
  }
  this->Send(connection, [answer = std::move(answer)](StandinConnection& open) {
    open.Respond(answer.status, answer.body.dump());
  });
}

bool StoreStandinServer::TakesLostAnswer() {
  if (this->fault.mode != StoreFaultMode::kLoseAnswers) return false;
  if (this->fault.count > 0 && --this->fault.count == 0) this->fault = StoreFault();
  return true;
}

void StoreStandinServer::OpenWatch(const ConnectionPointer& connection, const Json& request) {
  this->Send(connection, [](StandinConnection& open) { open.StartStream(); });
  const std::weak_ptr<StandinConnection> weak = connection;
  const std::weak_ptr<bool> guard = this->alive;
  const std::uint64_t id = this->model.OpenWatch(request, [this, weak](const Json& message) {
    const auto open = weak.lock();
    if (!open) return;
    this->Send(open, [line = message.dump()](StandinConnection& to) { to.SendLine(line); });
  });
  connection->OnClose([this, guard, id] {
    if (!guard.expired()) this->model.CloseWatch(id);
  });
}

void StoreStandinServer::Send(const ConnectionPointer& connection,
                              std::function<void(StandinConnection&)> send) {
  if (this->fault.mode != StoreFaultMode::kSlow) {
    send(*connection);
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(this->loop, this->fault.delay);
  timer->async_wait([timer, connection, send = std::move(send)](const asio::error_code& error) {
    if (!error) send(*connection);
  });
}

Json StoreStandinServer::Counters() const {
  return {{"calls", this->calls},
          {"open_watches", this->model.OpenWatches()},
          {"revision", this->model.Revision()}};
}

}  // namespace fireflyrun::standins
