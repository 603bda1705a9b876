#include "node/node.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "common/log.h"
#include "common/log_event.h"
#include "common/random.h"
#include "common/timer_service.h"
#include "http/call_server.h"
#include "http/client.h"
#include "http/server.h"
#include "http/target_client.h"
#include "membership/fleet_report.h"
#include "membership/membership.h"
#include "node/admin_service.h"
#include "node/call_plane.h"
#include "node/control_plane.h"
#include "node/node_drain.h"
#include "node/node_metrics.h"
#include "node/process_metrics.h"
#include "node/record_keeper.h"
#include "node/stop_times.h"
#include "node/supervisor.h"
#include "policy/held_bytes.h"
#include "records/caller_limits.h"
#include "records/configuration.h"

namespace fireflyrun::node {
namespace {

constexpr std::size_t kIdleStoreConnections = 8;
constexpr std::size_t kAdminConnections = 64;
constexpr std::size_t kMaxAdminBodyBytes = std::size_t{64} * 1024;
/// Added to the header timeout: a pause in a body may last longer than a whole header may take.
constexpr Duration kBodyTimeoutMargin = std::chrono::seconds(7);
constexpr unsigned kIncarnationRandomBits = 20;
/// The share of the node's memory that answers may take; requests get half as much. The rest is for
/// the second copies of bodies that are passed on, the allocator, and the node itself.
constexpr std::size_t kBodyShareDivisor = 4;

/// Milliseconds since the epoch, then random bits: later starts of a host get higher incarnations
/// while its clock is roughly right, and two starts in one millisecond still differ.
std::uint64_t NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
  return (static_cast<std::uint64_t>(ms) << kIncarnationRandomBits) |
         RandomBelow(1ULL << kIncarnationRandomBits);
}

http::ServerOptions AdminServerOptions(const NodeSettings& settings) {
  return {settings.address, settings.admin_port, kMaxAdminBodyBytes, kAdminConnections};
}

http::TargetClientOptions MakeTargetClientOptions(
    const std::shared_ptr<policy::HeldBytes>& held_bytes) {
  http::TargetClientOptions options;
  options.held_bytes = held_bytes;
  return options;
}

http::CallServerOptions CallerServerOptions(const NodeSettings& settings,
                                            const std::shared_ptr<policy::HeldBytes>& held_bytes) {
  http::CallServerOptions options;
  options.address = settings.address;
  options.port = settings.caller_port;
  options.max_connections = settings.max_connections;
  options.limits.max_body_bytes = settings.max_body_bytes;
  options.held_bytes = held_bytes;
  return options;
}

}  // namespace

class Node::Implementation {
 public:
  Implementation(asio::io_context& loop, NodeSettings node_settings,
                 const PlatformAdapter& platform);

  tl::expected<void, std::string> Start() { return this->root.Start(); }
  void Apply(const NodeSettings& changed);
  void Stop(std::function<void()> done);

 private:
  AdminService::Hooks AdminHooks();
  NodeDrain::Hooks DrainHooks();
  std::unique_ptr<http::Server> MakeAdminServer(asio::io_context& loop, std::uint16_t port);
  template <typename Server>
  static Component ServerComponent(std::string name, Server& server);
  void ApplyLimits(const records::CallerLimits& limits);
  void NameService(std::string service);
  Component DrainComponent();
  void AddServerMetrics();

  // Members are destroyed in reverse order: users of a member are declared after it.
  NodeSettings settings;
  ServiceRecordName service_record_name;
  std::uint64_t incarnation;
  std::shared_ptr<policy::HeldBytes> held_bytes;  ///< Of the bodies of requests and answers.
  TimerService timers;
  NodeMetrics metrics;
  http::Client client;
  http::TargetClient target_client;
  ControlPlane control;
  CallPlane calls;
  AdminService admin_service;
  http::Server admin_server;
  std::unique_ptr<http::Server> health_server;
  std::unique_ptr<http::Server> metrics_server;
  http::CallServer caller_server;
  NodeDrain drain;
  Supervisor call_supervisor;
  Supervisor root;
  std::function<void()> on_stopped;  ///< Empty before the stop.
  TimerSubscription stop_timer;
  /// The earliest time at which the stop may have been requested: the event loop may have been held
  /// up while the request waited, and the time to a kill counts from the request.
  SteadyTime stop_began;
};

Node::Implementation::Implementation(asio::io_context& loop, NodeSettings node_settings,
                                     const PlatformAdapter& platform)
    : settings(std::move(node_settings)),
      service_record_name(platform.service_record_name),
      incarnation(NewIncarnation()),
      held_bytes(std::make_shared<policy::HeldBytes>(settings.memory_limit / kBodyShareDivisor)),
      timers(loop),
      client(loop, kIdleStoreConnections),
      target_client(timers, MakeTargetClientOptions(held_bytes)),
      control(timers, client, settings, incarnation, platform),
      calls(timers, target_client, settings, incarnation, held_bytes, control, metrics),
      admin_service(AdminHooks()),
      admin_server(loop, AdminServerOptions(settings),
                   [this](http::Request request, std::shared_ptr<http::Exchange> exchange) {
                     this->admin_service.OnRequest(request, exchange);
                   }),
      caller_server(loop, CallerServerOptions(settings, held_bytes),
                    [this](http::Request request, std::shared_ptr<http::Exchange> exchange) {
                      this->calls.OnRequest(std::move(request), exchange);
                    }),
      drain(timers, settings, DrainHooks()),
      call_supervisor(timers, "calls"),
      root(timers, "node") {
  this->NameService(this->settings.target_service);
  this->call_supervisor.Add(this->calls.LinksComponent());
  this->call_supervisor.Add(this->ServerComponent("caller-server", this->caller_server));
  this->root.Add(this->ServerComponent("admin-server", this->admin_server));
  if (settings.health_port != 0) {
    this->health_server = this->MakeAdminServer(loop, settings.health_port);
    this->root.Add(this->ServerComponent("health-server", *this->health_server));
  }
  if (settings.metrics_port != 0) {
    this->metrics_server = this->MakeAdminServer(loop, settings.metrics_port);
    this->root.Add(this->ServerComponent("metrics-server", *this->metrics_server));
  }
  this->root.Add(this->control.AsComponent([this] { return this->calls.TicketWindow(); }));
  this->root.Add(this->call_supervisor.AsComponent());
  this->root.Add(this->DrainComponent());
  this->control.OnConfiguration([this](const records::Configuration& configuration) {
    this->ApplyLimits(configuration.Limits());
    this->calls.OnConfiguration();
  });
  this->control.AddMetrics(&this->metrics);
  this->calls.AddMetrics(&this->metrics);
  this->AddServerMetrics();
}

void Node::Implementation::Stop(std::function<void()> done) {
  if (this->on_stopped) return;
  this->on_stopped = [called = false, done = std::move(done)]() mutable {
    if (!std::exchange(called, true)) done();
  };
  const SteadyTime now = SteadyClock::now();
  this->stop_began = now - this->timers.LongestDelay();
  const SteadyTime process_end = this->stop_began + StopTimesOf(this->settings).process_limit;
  // Ends the stop even if a component still waits for something.
  this->stop_timer = this->timers.After(process_end - now, [this] {
    Log(LogLevel::kWarning, "node", "event=stop-limit-passed");
    this->on_stopped();
  });
  this->root.Stop([this] { this->on_stopped(); });
}

void Node::Implementation::Apply(const NodeSettings& changed) {
  SetLogLevel(changed.log_level);
  // Components read these settings at each use.
  this->settings.log_level = changed.log_level;
  this->settings.announcement_limit = changed.announcement_limit;
  this->settings.stop_notice = changed.stop_notice;
  this->settings.stop_limit = changed.stop_limit;
  this->settings.stop_grace = changed.stop_grace;
  this->settings.link_bytes_per_second = changed.link_bytes_per_second;
  this->NameService(changed.target_service);
  this->settings.target_address = changed.target_address;
  this->calls.OnSettingsChanged();
}

/// Sets the service of this host's target, given by the name that the site has for it.
void Node::Implementation::NameService(std::string service) {
  const bool translates = this->service_record_name && !service.empty();
  this->settings.target_service = translates ? this->service_record_name(service) : service;
  this->settings.caller_service = translates ? std::move(service) : std::string();
}

AdminService::Hooks Node::Implementation::AdminHooks() {
  AdminService::Hooks hooks;
  hooks.on_announcement = [this](const TargetAnnouncement& announcement) {
    return this->calls.OnAnnouncement(announcement);
  };
  hooks.on_departure = [this](const std::string& id, std::uint64_t born) {
    this->calls.OnDeparture(id, born);
  };
  hooks.render_metrics = [this] { return this->metrics.Render(); };
  hooks.collect_fleet = [this](std::function<void(std::string)> respond) {
    this->control.Fleet().CollectFleet(
        [respond](const membership::FleetReport& report) { respond(ToJson(report)); });
  };
  hooks.describe_records = [this] { return this->control.Records().Describe(); };
  hooks.describe_targets = [this] { return this->calls.DescribeTargets(); };
  hooks.service_record_name = this->service_record_name;
  hooks.ready = [this] {
    const bool has_records = this->control.Records().InForce() != nullptr;
    return has_records && this->control.HasDiscoveredFleet() && !this->calls.Leaving();
  };
  return hooks;
}

NodeDrain::Hooks Node::Implementation::DrainHooks() {
  NodeDrain::Hooks hooks;
  hooks.busy = [this] {
    return this->calls.HasOpenCalls() || this->caller_server.OpenExchanges() > 0;
  };
  hooks.has_unclaimed_answers = [this] { return this->calls.HasUnclaimedAnswers(); };
  hooks.stop_accepting = [this] { this->caller_server.StopAccepting(); };
  hooks.on_limit_passed = [this] { this->calls.OnDrainEnded(); };
  return hooks;
}

void Node::Implementation::ApplyLimits(const records::CallerLimits& limits) {
  if (limits.max_body_bytes > this->settings.max_body_bytes) {
    LogEvent(LogLevel::kWarning, "node", "body-limit")
        .Add("records_bytes", limits.max_body_bytes)
        .Add("in_force_bytes", this->settings.max_body_bytes);
  }
  http::CallServerLimits new_limits;
  new_limits.max_header_bytes = limits.max_header_bytes;
  new_limits.max_body_bytes = std::min(limits.max_body_bytes, this->settings.max_body_bytes);
  new_limits.header_timeout = limits.header_timeout;
  new_limits.body_timeout = limits.header_timeout + kBodyTimeoutMargin;
  new_limits.idle_timeout = limits.idle_timeout;
  this->caller_server.SetLimits(new_limits);
}

std::unique_ptr<http::Server> Node::Implementation::MakeAdminServer(asio::io_context& loop,
                                                                    std::uint16_t port) {
  http::ServerOptions options = AdminServerOptions(this->settings);
  options.port = port;
  return std::make_unique<http::Server>(
      loop, options, [this](http::Request request, std::shared_ptr<http::Exchange> exchange) {
        this->admin_service.OnRequest(request, exchange);
      });
}

template <typename Server>
Component Node::Implementation::ServerComponent(std::string name, Server& server) {
  Component component;
  component.name = std::move(name);
  component.start = [&server] { return server.Start(); };
  component.stop = [&server](const std::function<void()>& done) {
    server.Close();
    done();
  };
  return component;
}

void Node::Implementation::AddServerMetrics() {
  AddProcessMetrics(this->timers, &this->metrics);
  this->metrics.AddGauge(
      "fireflyrun_open_exchanges", "Callers' requests that are not yet answered in full.",
      [this] { return static_cast<double>(this->caller_server.OpenExchanges()); });
  this->metrics.AddGauge(
      "fireflyrun_open_connections", "Callers' connections that are open.",
      [this] { return static_cast<double>(this->caller_server.OpenConnections()); });
  constexpr const char* kHeldBytes = "fireflyrun_held_body_bytes";
  constexpr const char* kHeldBytesHelp =
      "Bytes of messages that are held, heads included, by kind.";
  this->metrics.AddGauge(
      kHeldBytes, kHeldBytesHelp,
      [this] { return static_cast<double>(this->held_bytes->Held(policy::MessageKind::kRequest)); },
      {{"body", "request"}});
  this->metrics.AddGauge(
      kHeldBytes, kHeldBytesHelp,
      [this] { return static_cast<double>(this->held_bytes->Held(policy::MessageKind::kAnswer)); },
      {{"body", "answer"}});
  constexpr const char* kCallersGone = "fireflyrun_callers_gone_total";
  constexpr const char* kCallersGoneHelp =
      "Callers that left before they were answered, by what had become of their requests.";
  this->metrics.AddCounter(
      kCallersGone, kCallersGoneHelp,
      [this] { return static_cast<double>(this->caller_server.Counters().callers_gone_unread); },
      {{"request", "unread"}});
  this->metrics.AddCounter(
      kCallersGone, kCallersGoneHelp,
      [this] { return static_cast<double>(this->caller_server.Counters().callers_gone_waiting); },
      {{"request", "in-progress"}});
}

Component Node::Implementation::DrainComponent() {
  Component component;
  component.name = "drain";
  component.start = []() -> tl::expected<void, std::string> { return {}; };
  component.stop = [this](std::function<void()> done) {
    this->caller_server.BeginDrain();
    this->calls.Leave(this->stop_began);
    // The store may be slow to answer; leaving the roster before the drain gives it time.
    this->control.LeaveRoster();
    this->drain.Start(this->stop_began, std::move(done));
  };
  return component;
}

Node::Node(asio::io_context& loop, NodeSettings node_settings, const PlatformAdapter& platform)
    : implementation(std::make_unique<Implementation>(loop, std::move(node_settings), platform)) {}

Node::~Node() = default;

tl::expected<void, std::string> Node::Start() { return this->implementation->Start(); }

void Node::Apply(const NodeSettings& changed) { this->implementation->Apply(changed); }

void Node::Stop(std::function<void()> done) { this->implementation->Stop(std::move(done)); }

}  // namespace fireflyrun::node
