#include "http/call_server.h"

#include <utility>

#include "http/call_server_core.h"

namespace fireflyrun::http {

CallServer::CallServer(asio::io_context& loop, CallServerOptions options, Handler handler)
    : core(std::make_shared<CallServerCore>(loop, std::move(options), std::move(handler))) {}

CallServer::~CallServer() { this->Close(); }

tl::expected<void, std::string> CallServer::Start() { return this->core->Start(); }

std::uint16_t CallServer::Port() const { return this->core->Port(); }

void CallServer::SetLimits(const CallServerLimits& limits) { this->core->SetLimits(limits); }

void CallServer::BeginDrain() { this->core->BeginDrain(); }

void CallServer::StopAccepting() { this->core->StopAccepting(); }

void CallServer::CloseConnection(std::uint64_t connection_id) {
  this->core->CloseConnection(connection_id);
}

std::size_t CallServer::OpenExchanges() const { return this->core->OpenExchanges(); }

std::size_t CallServer::OpenConnections() const { return this->core->OpenConnections(); }

const CallServerCounters& CallServer::Counters() const { return this->core->Counters(); }

void CallServer::Close() { this->core->Close(); }

}  // namespace fireflyrun::http
