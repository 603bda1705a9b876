#include "peer/link_server.h"

#include <utility>

#include "peer/link_server_implementation.h"

namespace fireflyrun::peer {

LinkServer::LinkServer(TimerService& timers, LinkOptions options, CallHook on_call,
                       CancelHook on_cancel)
    : implementation(std::make_shared<Implementation>(timers, std::move(options),
                                                      std::move(on_call), std::move(on_cancel))) {}

LinkServer::~LinkServer() { this->implementation->Close(); }

tl::expected<void, std::string> LinkServer::Start() { return this->implementation->Start(); }

std::uint16_t LinkServer::Port() const { return this->implementation->Port(); }

std::size_t LinkServer::RetainedAnswers() const {
  return this->implementation->Calls().RetainedAnswers();
}

std::size_t LinkServer::OpenCalls() const { return this->implementation->Calls().OpenCalls(); }

std::size_t LinkServer::OpenLinks() const { return this->implementation->OpenLinks(); }

const LinkCounters& LinkServer::Counters() const { return this->implementation->Counters(); }

void LinkServer::Close() { this->implementation->Close(); }

}  // namespace fireflyrun::peer
