#include "tests/standins/fault_proxy.h"

#include <asio/socket_base.hpp>
#include <sstream>
#include <utility>

namespace fireflyrun::standins {
namespace {

using asio::ip::tcp;

/// Small, so that a rate cap is felt by the sender and not hidden in the kernel.
constexpr int kSocketBufferBytes = 32 << 10;

void Shrink(tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  socket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes), ignored);
}

void Reset(tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

void CloseSession(const FaultProxySession& session) {
  if (session.to_server) session.to_server->Close();
  if (session.to_client) session.to_client->Close();
  Reset(*session.client);
  Reset(*session.server);
}

bool IsDone(const std::shared_ptr<FaultProxySession>& session) {
  return session->to_server && session->to_server->Done() && session->to_client->Done();
}

}  // namespace

FaultProxy::FaultProxy(asio::io_context& event_loop, const tcp::endpoint& listen_endpoint,
                       tcp::endpoint target_endpoint)
    : loop(event_loop),
      target(std::move(target_endpoint)),
      listening(listen_endpoint),
      acceptor(event_loop) {
  this->Listen();
}

FaultProxy::FaultProxy(asio::io_context& event_loop, std::uint16_t listen_port,
                       tcp::endpoint target_endpoint)
    : FaultProxy(event_loop, tcp::endpoint(asio::ip::address_v4::loopback(), listen_port),
                 std::move(target_endpoint)) {}

FaultProxy::~FaultProxy() {
  *this->alive = false;
  this->ResetExisting();
}

std::uint16_t FaultProxy::Port() const { return this->listening.port(); }

void FaultProxy::Listen() {
  this->acceptor.open(this->listening.protocol());
  this->acceptor.set_option(tcp::acceptor::reuse_address(true));
  this->acceptor.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes));
  this->acceptor.bind(this->listening);
  this->acceptor.listen();
  this->listening = this->acceptor.local_endpoint();
  this->Accept();
}

void FaultProxy::Accept() {
  this->acceptor.async_accept(
      [this, living = this->alive](const asio::error_code& error, tcp::socket socket) {
        if (error || !*living) return;
        this->Open(std::move(socket));
        this->Accept();
      });
}

void FaultProxy::Open(tcp::socket client) {
  ++this->accepted;
  std::erase_if(this->sessions, IsDone);
  auto session = std::make_shared<FaultProxySession>();
  asio::error_code ignored;
  session->source = client.remote_endpoint(ignored).address();
  session->client = std::make_shared<tcp::socket>(std::move(client));
  session->server = std::make_shared<tcp::socket>(this->loop);
  this->sessions.push_back(session);
  this->Connect(session);
}

void FaultProxy::Connect(const Session& session) {
  session->server->async_connect(
      this->target, [this, living = this->alive, session](const asio::error_code& error) {
        if (!*living) return;
        if (error) return Reset(*session->client);
        Shrink(*session->client);
        Shrink(*session->server);
        session->to_server =
            std::make_shared<FaultProxyPipe>(session->client, session->server, this->new_to_server);
        session->to_client =
            std::make_shared<FaultProxyPipe>(session->server, session->client, this->new_to_client);
        this->ApplyCutRule(*session);
        session->to_server->Start();
        session->to_client->Start();
      });
}

FaultProxyFaults& FaultProxy::NewFaults(Direction direction) {
  return direction == Direction::kToServer ? this->new_to_server : this->new_to_client;
}

void FaultProxy::SetFaults(Direction direction, Scope scope, const FaultProxyFaults& faults) {
  if (scope != Scope::kExisting) this->NewFaults(direction) = faults;
  if (scope == Scope::kNew) return;
  for (const Session& session : this->sessions) {
    const auto& pipe = direction == Direction::kToServer ? session->to_server : session->to_client;
    if (pipe) pipe->SetFaults(faults);
  }
}

void FaultProxy::SilenceExisting() {
  for (const Session& session : this->sessions) {
    if (session->to_server) session->to_server->Silence();
    if (session->to_client) session->to_client->Silence();
  }
}

void FaultProxy::ResetExisting() {
  for (const Session& session : this->sessions) CloseSession(*session);
  this->sessions.clear();
}

void FaultProxy::SetCut(bool cut) {
  if (!cut && !this->acceptor.is_open()) return this->Listen();
  if (!cut) return;
  this->acceptor.close();
  this->SilenceExisting();
}

void FaultProxy::SetCutRule(CutRule rule) {
  this->cut_rule = std::move(rule);
  for (const Session& session : this->sessions) {
    if (session->to_server) this->ApplyCutRule(*session);
  }
}

void FaultProxy::ApplyCutRule(FaultProxySession& session) const {
  const FaultProxyCut cut = this->cut_rule(session.source);
  session.to_server->SetCut(cut.to_server);
  session.to_client->SetCut(cut.to_client);
}

void FaultProxy::Retarget(tcp::endpoint target_endpoint) {
  this->target = std::move(target_endpoint);
  this->ResetExisting();
}

std::size_t FaultProxy::HeldBytes(Direction direction) const {
  std::size_t held = 0;
  for (const Session& session : this->sessions) {
    const auto& pipe = direction == Direction::kToServer ? session->to_server : session->to_client;
    if (pipe) held += pipe->HeldBytes();
  }
  return held;
}

std::string FaultProxy::RunCommand(std::string_view line) {
  std::istringstream words{std::string(line)};
  std::string verb;
  std::string argument;
  words >> verb;
  if (verb == "fault") return this->RunFaultCommand(line.substr(verb.size()));
  words >> argument;
  if (verb == "silence") {
    this->SilenceExisting();
  } else if (verb == "reset") {
    this->ResetExisting();
  } else if (verb == "cut" && (argument == "on" || argument == "off")) {
    this->SetCut(argument == "on");
  } else {
    return "unknown command: " + std::string(line);
  }
  return "ok";
}

std::string FaultProxy::RunFaultCommand(std::string_view arguments) {
  std::istringstream words{std::string(arguments)};
  std::string direction;
  std::string scope;
  words >> direction >> scope;
  if (direction != "to-server" && direction != "to-client") return "direction: " + direction;
  if (scope != "existing" && scope != "new" && scope != "all") return "scope: " + scope;
  FaultProxyFaults faults;
  for (std::string name; words >> name;) {
    std::size_t value = 0;
    if (name == "drop") {
      faults.drop = true;
    } else if (name == "hold") {
      faults.hold = true;
    } else if (name == "delay" && words >> value) {
      faults.delay = std::chrono::milliseconds(value);
    } else if (name == "rate" && words >> value) {
      faults.bytes_per_second = value;
    } else {
      return "fault: " + name;
    }
  }
  const Scope reach = scope == "existing" ? Scope::kExisting
                      : scope == "new"    ? Scope::kNew
                                          : Scope::kAll;
  this->SetFaults(direction == "to-server" ? Direction::kToServer : Direction::kToClient, reach,
                  faults);
  return "ok";
}

}  // namespace fireflyrun::standins
