#include "node/node.h"

#include <chrono>
#include <utility>

#include "common/random.h"
#include "common/timer_service.h"
#include "http/client.h"
#include "http/server.h"
#include "membership/fleet_report.h"
#include "membership/membership.h"
#include "node/admin_service.h"
#include "node/call_plane.h"
#include "node/control_plane.h"
#include "node/node_drain.h"
#include "node/node_metrics.h"
#include "node/record_keeper.h"
#include "node/supervisor.h"

namespace fireflyrun::node {
namespace {

constexpr std::size_t kIdleTargetConnections = 128;
constexpr std::size_t kAdminConnections = 64;
constexpr std::size_t kMaxAdminBodyBytes = std::size_t{64} * 1024;
constexpr unsigned kIncarnationRandomBits = 20;

/// Later starts of a host get higher incarnations while its clock is roughly right, and two starts
/// in one millisecond still differ.
std::uint64_t NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
  return (static_cast<std::uint64_t>(ms) << kIncarnationRandomBits) |
         RandomBelow(1ULL << kIncarnationRandomBits);
}

http::ServerOptions AdminServerOptions(const NodeSettings& settings) {
  return {settings.address, settings.admin_port, kMaxAdminBodyBytes, kAdminConnections};
}

http::ServerOptions CallerServerOptions(const NodeSettings& settings) {
  return {settings.address, settings.caller_port, settings.max_body_bytes,
          settings.max_connections};
}

}  // namespace

class Node::Implementation {
 public:
  Implementation(asio::io_context& loop, NodeSettings node_settings,
                 const PlatformAdapter& platform);

  tl::expected<void, std::string> Start() { return this->root.Start(); }
  void Stop(std::function<void()> done) { this->root.Stop(std::move(done)); }

 private:
  AdminService::Hooks AdminHooks();
  NodeDrain::Hooks DrainHooks();
  std::unique_ptr<http::Server> MakeHealthServer(asio::io_context& loop);
  Part ServerPart(std::string name, http::Server& server);
  Part DrainPart();

  // Destroyed in reverse order: what uses a member stands below it.
  NodeSettings settings;
  std::uint64_t incarnation;
  TimerService timers;
  NodeMetrics metrics;
  http::Client client;
  ControlPlane control;
  CallPlane calls;
  AdminService admin_service;
  http::Server admin_server;
  std::unique_ptr<http::Server> health_server;
  http::Server caller_server;
  NodeDrain drain;
  Supervisor call_supervisor;
  Supervisor root;
};

Node::Implementation::Implementation(asio::io_context& loop, NodeSettings node_settings,
                                     const PlatformAdapter& platform)
    : settings(std::move(node_settings)),
      incarnation(NewIncarnation()),
      timers(loop),
      client(loop, kIdleTargetConnections),
      control(timers, client, settings, incarnation, platform),
      calls(timers, client, settings, incarnation, control, metrics),
      admin_service(AdminHooks()),
      admin_server(loop, AdminServerOptions(settings),
                   [this](http::Request request, std::shared_ptr<http::Exchange> exchange) {
                     this->admin_service.OnRequest(request, exchange);
                   }),
      caller_server(loop, CallerServerOptions(settings),
                    [this](http::Request request, std::shared_ptr<http::Exchange> exchange) {
                      this->calls.OnRequest(std::move(request), exchange);
                    }),
      drain(timers, settings.stop_notice, settings.stop_limit, DrainHooks()),
      call_supervisor(timers, "calls"),
      root(timers, "node") {
  this->call_supervisor.Add(this->calls.LinksPart());
  this->call_supervisor.Add(this->ServerPart("caller-server", this->caller_server));
  this->root.Add(this->ServerPart("admin-server", this->admin_server));
  if (settings.health_port != 0) {
    this->health_server = this->MakeHealthServer(loop);
    this->root.Add(this->ServerPart("health-server", *this->health_server));
  }
  this->root.Add(this->control.AsPart([this] { return this->calls.TicketWindow(); }));
  this->root.Add(this->call_supervisor.AsPart());
  this->root.Add(this->DrainPart());
  this->control.AddMetrics(&this->metrics);
  this->calls.AddMetrics(&this->metrics);
}

AdminService::Hooks Node::Implementation::AdminHooks() {
  AdminService::Hooks hooks;
  hooks.on_announcement = [this](const TargetAnnouncement& announcement) {
    return this->calls.OnAnnouncement(announcement);
  };
  hooks.on_departure = [this](const std::string& id) { this->calls.OnDeparture(id); };
  hooks.render_metrics = [this] { return this->metrics.Render(); };
  hooks.collect_fleet = [this](std::function<void(std::string)> respond) {
    this->control.Fleet().CollectFleet(
        [respond](const membership::FleetReport& report) { respond(ToJson(report)); });
  };
  hooks.describe_records = [this] { return this->control.Records().Describe(); };
  hooks.describe_targets = [this] { return this->calls.DescribeTargets(); };
  hooks.ready = [this] {
    return this->control.Records().InForce() != nullptr && !this->calls.Leaving();
  };
  return hooks;
}

NodeDrain::Hooks Node::Implementation::DrainHooks() {
  NodeDrain::Hooks hooks;
  hooks.busy = [this] { return this->calls.Busy() || this->caller_server.OpenExchanges() > 0; };
  hooks.unclaimed = [this] { return this->calls.HasUnclaimedAnswers(); };
  return hooks;
}

std::unique_ptr<http::Server> Node::Implementation::MakeHealthServer(asio::io_context& loop) {
  http::ServerOptions options = AdminServerOptions(this->settings);
  options.port = this->settings.health_port;
  return std::make_unique<http::Server>(
      loop, options, [this](http::Request request, std::shared_ptr<http::Exchange> exchange) {
        this->admin_service.OnRequest(request, exchange);
      });
}

Part Node::Implementation::ServerPart(std::string name, http::Server& server) {
  Part part;
  part.name = std::move(name);
  part.start = [&server] { return server.Start(); };
  part.stop = [&server](const std::function<void()>& done) {
    server.Close();
    done();
  };
  return part;
}

Part Node::Implementation::DrainPart() {
  Part part;
  part.name = "drain";
  part.start = []() -> tl::expected<void, std::string> { return {}; };
  part.stop = [this](std::function<void()> done) {
    this->calls.Leave();
    this->drain.Start(std::move(done));
  };
  return part;
}

Node::Node(asio::io_context& loop, NodeSettings node_settings, const PlatformAdapter& platform)
    : implementation(std::make_unique<Implementation>(loop, std::move(node_settings), platform)) {}

Node::~Node() = default;

tl::expected<void, std::string> Node::Start() { return this->implementation->Start(); }

void Node::Stop(std::function<void()> done) { this->implementation->Stop(std::move(done)); }

}  // namespace fireflyrun::node
