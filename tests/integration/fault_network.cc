#include "tests/integration/fault_network.h"

#include <asio/post.hpp>
#include <future>

namespace fireflyrun::integration {
namespace {

using asio::ip::tcp;
using standins::FaultProxy;
using standins::FaultProxyCut;
using standins::FaultProxyFaults;

constexpr std::uint16_t kPeerPort = 7402;
constexpr std::uint16_t kControlPort = 7403;

tcp::endpoint ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  const auto port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
  return {asio::ip::make_address(text.substr(0, colon)), port};
}

}  // namespace

FaultNetwork::FaultNetwork()
    : work_guard(asio::make_work_guard(this->loop)), thread([this] { this->loop.run(); }) {}

FaultNetwork::~FaultNetwork() {
  this->Run([this] { this->hosts.clear(); });
  this->work_guard.reset();
  this->loop.stop();
  this->thread.join();
}

void FaultNetwork::Run(const std::function<void()>& work) {
  std::packaged_task<void()> task(work);
  asio::post(this->loop, [&task] { task(); });
  task.get_future().get();
}

std::string FaultNetwork::AddHost(const std::string& node, const std::string& zone,
                                  const std::string& address, const std::string& advertised,
                                  const std::string& store) {
  std::string store_address;
  this->Run([&] {
    auto host = std::make_unique<Host>();
    host->node = node;
    host->zone = zone;
    host->address = asio::ip::make_address(address);
    const auto seen = asio::ip::make_address(advertised);
    for (const std::uint16_t port : {kPeerPort, kControlPort}) {
      host->ports.push_back(std::make_unique<FaultProxy>(this->loop, tcp::endpoint(seen, port),
                                                         tcp::endpoint(host->address, port)));
    }
    host->store = std::make_unique<FaultProxy>(this->loop, 0, ParseEndpoint(store));
    store_address = "127.0.0.1:" + std::to_string(host->store->Port());
    this->hosts.push_back(std::move(host));
    this->ApplyCuts();
  });
  return store_address;
}

void FaultNetwork::CutBetween(const Names& left, const Names& right) {
  this->CutOneWay(left, right);
  this->CutOneWay(right, left);
}

void FaultNetwork::CutOneWay(const Names& from, const Names& to) {
  this->Run([&] {
    this->cuts.push_back({from, to});
    this->ApplyCuts();
  });
}

void FaultNetwork::CutStore(const Names& names) {
  this->Run([&] {
    for (const auto& host : this->hosts) host->store_cut = host->store_cut || host->IsIn(names);
    this->ApplyCuts();
  });
}

void FaultNetwork::Heal() {
  this->Run([this] {
    this->cuts.clear();
    for (const auto& host : this->hosts) {
      host->store_cut = false;
      this->SetFaults({host->node}, {});
    }
    this->ApplyCuts();
  });
}

void FaultNetwork::SilenceExisting(const Names& names) {
  this->Run([&] { this->ForEach(names, [](FaultProxy& proxy) { proxy.SilenceExisting(); }); });
}

void FaultNetwork::Reset(const Names& names) {
  this->Run([&] { this->ForEach(names, [](FaultProxy& proxy) { proxy.ResetExisting(); }); });
}

void FaultNetwork::Delay(const Names& names, std::chrono::milliseconds delay) {
  FaultProxyFaults faults;
  faults.delay = delay;
  this->Run([&] { this->SetFaults(names, faults); });
}

void FaultNetwork::LimitRate(const Names& names, std::size_t bytes_per_second) {
  FaultProxyFaults faults;
  faults.bytes_per_second = bytes_per_second;
  this->Run([&] { this->SetFaults(names, faults); });
}

void FaultNetwork::ForEach(const Names& names, const std::function<void(FaultProxy&)>& work) {
  for (const auto& host : this->hosts) {
    if (!host->IsIn(names)) continue;
    for (const auto& proxy : host->ports) work(*proxy);
  }
}

void FaultNetwork::SetFaults(const Names& names, const FaultProxyFaults& faults) {
  this->ForEach(names, [&faults](FaultProxy& proxy) {
    proxy.SetFaults(FaultProxy::Direction::kToServer, FaultProxy::Scope::kAll, faults);
    proxy.SetFaults(FaultProxy::Direction::kToClient, FaultProxy::Scope::kAll, faults);
  });
}

void FaultNetwork::ApplyCuts() {
  for (const auto& host : this->hosts) {
    const Host* server = host.get();
    for (const auto& proxy : host->ports) {
      proxy->SetCutRule(
          [this, server](const asio::ip::address& source) { return this->CutOf(source, *server); });
    }
    const FaultProxyCut store_cut{host->store_cut, host->store_cut};
    host->store->SetCutRule([store_cut](const asio::ip::address&) { return store_cut; });
  }
}

bool FaultNetwork::IsCut(const Host& from, const Host& to) const {
  for (const Cut& cut : this->cuts) {
    if (from.IsIn(cut.from) && to.IsIn(cut.to)) return true;
  }
  return false;
}

FaultProxyCut FaultNetwork::CutOf(const asio::ip::address& source, const Host& server) const {
  for (const auto& host : this->hosts) {
    if (host->address == source) return {this->IsCut(*host, server), this->IsCut(server, *host)};
  }
  return {};
}

}  // namespace fireflyrun::integration
