#include "node/node.h"

#include <asio/post.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "common/log.h"
#include "common/random.h"
#include "common/timer_service.h"
#include "http/client.h"
#include "http/server.h"
#include "membership/member_state.h"
#include "membership/membership.h"
#include "membership/view_change.h"
#include "membership/zero_mq_transport.h"
#include "node/admin_service.h"
#include "node/attempt_sender.h"
#include "node/call_dispatcher.h"
#include "node/caller_service.h"
#include "node/context_table.h"
#include "node/level_key.h"
#include "node/node_drain.h"
#include "node/node_metrics.h"
#include "node/record_keeper.h"
#include "node/retry_budgets.h"
#include "node/supervisor.h"
#include "node/target_directory.h"
#include "node/target_service.h"
#include "node/target_watcher.h"
#include "peer/link_pool.h"
#include "peer/link_server.h"
#include "policy/byte_budget.h"
#include "policy/target_chooser.h"
#include "store/etcd_store.h"
#include "store/key_binder.h"
#include "store/record_store.h"
#include "store/roster.h"

namespace fireflyrun::node {
namespace {

using policy::RefusalReason;

constexpr std::size_t kIdleTargetConnections = 128;
constexpr std::size_t kAdminConnections = 64;
constexpr std::size_t kMaxAdminBodyBytes = std::size_t{64} * 1024;
constexpr Duration kTicketWindowPeriod = std::chrono::seconds(1);
constexpr Duration kContactPeriod = std::chrono::seconds(1);
/// Delegates look for a part of the fleet that they have never met once in so many periods.
constexpr unsigned kReunionPeriods = 30;
constexpr double kLinkBurstSeconds = 2;
/// A target's node that drops a call at its deadline is given this long to say so; otherwise the
/// caller would hear "unknown" of a call that is known not to have run.
constexpr Duration kTruthGrace = std::chrono::milliseconds(50);
constexpr unsigned kIncarnationRandomBits = 20;

/// Later starts of a host get higher incarnations while its clock is roughly right, and two starts
/// in one millisecond still differ.
std::uint64_t NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
  return (static_cast<std::uint64_t>(ms) << kIncarnationRandomBits) |
         RandomBelow(1ULL << kIncarnationRandomBits);
}

std::string Endpoint(const std::string& ip, std::uint16_t port) {
  return ip + ':' + std::to_string(port);
}

const std::string& AdvertisedAddress(const NodeSettings& settings) {
  return settings.advertised_address.empty() ? settings.address : settings.advertised_address;
}

membership::Member SelfMember(const NodeSettings& settings, std::uint64_t incarnation) {
  membership::Member self;
  self.node = settings.node;
  self.incarnation = incarnation;
  self.region = settings.region;
  self.zone = settings.zone;
  self.ip = AdvertisedAddress(settings);
  self.caller_port = settings.caller_port;
  self.peer_port = settings.peer_port;
  self.control_port = settings.control_port;
  self.admin_port = settings.admin_port;
  return self;
}

store::RosterEntry SelfRosterEntry(const NodeSettings& settings) {
  return {settings.zone, settings.node,
          Endpoint(AdvertisedAddress(settings), settings.control_port),
          Endpoint(settings.address, settings.admin_port)};
}

peer::LinkOptions MakeLinkOptions(const NodeSettings& settings, std::uint64_t incarnation) {
  peer::LinkOptions options;
  options.cluster = settings.cluster;
  options.node = settings.node;
  options.incarnation = incarnation;
  options.ip = settings.address;
  options.port = settings.peer_port;
  options.max_body_bytes = settings.max_body_bytes;
  return options;
}

policy::TargetChooserOptions MakeChooserOptions(const NodeSettings& settings) {
  policy::TargetChooserOptions options;
  options.node = settings.node;
  options.zone = settings.zone;
  options.region = settings.region;
  return options;
}

tl::expected<std::string, RefusalReason> ToTicketAnswer(
    tl::expected<std::string, store::StoreError> standing) {
  if (!standing) return tl::unexpected(RefusalReason::kStoreUnavailable);
  return std::move(*standing);
}

}  // namespace

class Node::Implementation {
 public:
  Implementation(asio::io_context& event_loop, NodeSettings node_settings);

  tl::expected<void, std::string> Start() { return this->root.Start(); }
  void Stop(std::function<void()> done) { this->root.Stop(std::move(done)); }

 private:
  void CreateStore();
  void CreateMembership();
  void CreateCallPath();
  void CreateServers();
  void AddParts();
  Part ControlPart();
  Part RecordsPart();
  Part LinksPart();
  Part ServerPart(std::string name, http::Server& server);
  Part RosterPart();
  Part DrainPart();

  AttemptSender::Hooks SenderHooks();
  DispatchServices MakeDispatchServices();
  CallerService::Hooks CallerHooks();
  AdminService::Hooks AdminHooks();
  void SendCall(const peer::PeerAddress& address, peer::Call call, SteadyTime deadline,
                AttemptSender::AnswerHandler handler);
  bool IsInOtherRegion(const std::string& node) const;
  /// Takes the answer's bytes from the inter-region budget, too.
  AttemptSender::AnswerHandler ChargingLink(AttemptSender::AnswerHandler handler);
  std::optional<std::string> MintTicket(const records::RoutePolicy& route);
  void RefreshContacts();
  void AddControlMetrics();
  void AddCallMetrics();
  bool Busy() const;

  asio::io_context& loop;
  NodeSettings settings;
  std::uint64_t incarnation;
  TimerService timers;
  NodeMetrics metrics;
  http::Client client;
  std::unique_ptr<store::EtcdStore> store;
  std::unique_ptr<store::RecordStore> record_store;
  std::unique_ptr<store::KeyBinder> key_binder;
  std::unique_ptr<store::Roster> roster;
  std::unique_ptr<RecordKeeper> records;
  std::unique_ptr<membership::ZeroMqTransport> transport;
  std::unique_ptr<membership::Membership> membership;
  ContextTable contexts;
  RetryBudgets budgets;
  policy::ByteBudget link_budget;
  policy::TargetChooser chooser;
  std::unique_ptr<TargetDirectory> directory;
  std::unique_ptr<TargetService> target;
  std::unique_ptr<TargetWatcher> target_watcher;
  std::unique_ptr<peer::LinkPool> links;
  std::unique_ptr<peer::LinkServer> link_server;
  std::unique_ptr<AttemptSender> sender;
  std::unique_ptr<CallDispatcher> dispatcher;
  std::unique_ptr<CallerService> caller_service;
  std::unique_ptr<AdminService> admin_service;
  std::unique_ptr<http::Server> caller_server;
  std::unique_ptr<http::Server> admin_server;
  std::unique_ptr<NodeDrain> drain;
  Supervisor control_supervisor;
  Supervisor call_supervisor;
  Supervisor root;
  TimerSubscription window_timer;
  TimerSubscription contact_timer;
  unsigned contact_rounds = 0;
  bool stopping = false;
};

Node::Implementation::Implementation(asio::io_context& event_loop, NodeSettings node_settings)
    : loop(event_loop),
      settings(std::move(node_settings)),
      incarnation(NewIncarnation()),
      timers(loop),
      client(loop, kIdleTargetConnections),
      link_budget(settings.link_bytes_per_second,
                  settings.link_bytes_per_second * kLinkBurstSeconds, SteadyClock::now()),
      chooser(MakeChooserOptions(settings), {[](std::uint64_t bound) { return RandomBelow(bound); },
                                             [this](std::uint64_t bytes, SteadyTime now) {
                                               return this->link_budget.TryTake(bytes, now);
                                             }}),
      control_supervisor(timers, "control"),
      call_supervisor(timers, "calls"),
      root(timers, "node") {
  this->CreateStore();
  this->CreateMembership();
  this->CreateCallPath();
  this->CreateServers();
  this->AddParts();
  this->AddControlMetrics();
  this->AddCallMetrics();
}

void Node::Implementation::AddControlMetrics() {
  const auto counters = [this]() -> const auto& { return this->membership->Counters(); };
  this->metrics.AddGauge("fireflyrun_records_revision", "Revision of the records in force.",
                         [this] { return static_cast<double>(this->records->Book().Revision()); });
  this->metrics.AddGauge("fireflyrun_members", "Nodes known, this one included.", [this] {
    return static_cast<double>(this->membership->GetView().CountPresent());
  });
  this->metrics.AddCounter("fireflyrun_control_sent_bytes_total", "Control bytes sent.",
                           [counters] { return static_cast<double>(counters().bytes_sent); });
  this->metrics.AddCounter("fireflyrun_control_received_bytes_total", "Control bytes received.",
                           [counters] { return static_cast<double>(counters().bytes_received); });
  this->metrics.AddCounter("fireflyrun_control_sent_messages_total", "Control messages sent.",
                           [counters] { return static_cast<double>(counters().messages_sent); });
}

void Node::Implementation::AddCallMetrics() {
  this->metrics.AddGauge(
      "fireflyrun_admission_limit", "Calls that may run at the target at once.",
      [this] { return static_cast<double>(this->target->Admission().Limit(SteadyClock::now())); });
  this->metrics.AddGauge("fireflyrun_admission_in_flight", "Calls running at the target.", [this] {
    return static_cast<double>(this->target->Admission().InFlight());
  });
  this->metrics.AddGauge(
      "fireflyrun_admission_queue_length", "Calls waiting for the target.",
      [this] { return static_cast<double>(this->target->Admission().QueueLength()); });
  this->metrics.AddGauge("fireflyrun_tickets", "Tickets remembered.",
                         [this] { return static_cast<double>(this->target->Ledger().Entries()); });
  this->metrics.AddGauge("fireflyrun_open_links", "Links to other nodes.",
                         [this] { return static_cast<double>(this->links->OpenLinks()); });
}

void Node::Implementation::CreateStore() {
  if (!this->settings.store_endpoints.empty()) {
    store::EtcdStoreOptions options;
    options.endpoints = this->settings.store_endpoints;
    this->store = std::make_unique<store::EtcdStore>(this->client, this->timers, options);
    this->record_store =
        std::make_unique<store::RecordStore>(*this->store, this->timers, this->settings.cluster);
    this->key_binder =
        std::make_unique<store::KeyBinder>(*this->store, this->timers, this->settings.cluster);
    this->roster = std::make_unique<store::Roster>(
        *this->store, this->timers, this->settings.cluster, SelfRosterEntry(this->settings));
  }
  this->records = std::make_unique<RecordKeeper>(this->timers, this->record_store.get());
}

void Node::Implementation::CreateMembership() {
  membership::MembershipOptions options;
  options.cluster = this->settings.cluster;
  options.self = SelfMember(this->settings, this->incarnation);
  const auto send = [this](const std::string& address, std::string bytes) {
    if (this->transport) this->transport->Send(address, std::move(bytes));
  };
  this->membership =
      std::make_unique<membership::Membership>(this->timers, options, send, this->records->Hooks());
  this->directory = std::make_unique<TargetDirectory>(*this->membership);
  this->membership->Subscribe(
      [this](membership::ViewChange change, const membership::MemberState& state) {
        const bool gone = change == membership::ViewChange::kForgotten || !state.IsPresent();
        if (gone) this->chooser.Forget(state.member.node);
      });
}

void Node::Implementation::CreateCallPath() {
  TargetService::Options options;
  options.node = this->settings.node;
  options.incarnation = this->incarnation;
  options.max_body_bytes = this->settings.max_body_bytes;
  options.admit_all = this->settings.decisions_off;
  this->target = std::make_unique<TargetService>(this->timers, this->client, this->contexts,
                                                 options, this->metrics.TargetHooks());
  this->target_watcher = std::make_unique<TargetWatcher>(
      this->timers, *this->membership, *this->target, this->settings.announcement_limit);
  const auto link_options = MakeLinkOptions(this->settings, this->incarnation);
  this->links = std::make_unique<peer::LinkPool>(this->timers, link_options);
  this->link_server = std::make_unique<peer::LinkServer>(
      this->timers, link_options,
      [this](peer::Call call, peer::LinkServer::Reply reply) {
        this->target->OnCall(std::move(call), std::move(reply));
      },
      [this](const Id128& call_id) { this->target->OnCancel(call_id); });
  this->sender = std::make_unique<AttemptSender>(this->SenderHooks(), this->chooser);
  this->dispatcher = std::make_unique<CallDispatcher>(this->MakeDispatchServices());
  this->caller_service =
      std::make_unique<CallerService>(*this->dispatcher, this->contexts, this->CallerHooks());
}

AttemptSender::Hooks Node::Implementation::SenderHooks() {
  AttemptSender::Hooks hooks;
  hooks.send = [this](const peer::PeerAddress& address, peer::Call call, SteadyTime deadline,
                      AttemptSender::AnswerHandler handler) {
    this->SendCall(address, std::move(call), deadline, std::move(handler));
  };
  hooks.cancel = [this](const std::string& node, const Id128& call_id) {
    if (node == this->settings.node) {
      this->target->OnCancel(call_id);
    } else {
      this->links->Cancel(call_id);
    }
  };
  hooks.one_way_delay = [this](const std::string& node) { return this->links->OneWayDelay(node); };
  hooks.report = [this](const std::string& node, bool answered) {
    if (answered) {
      this->membership->ReportSuccess(node);
    } else {
      this->membership->ReportFailure(node);
    }
  };
  return hooks;
}

bool Node::Implementation::IsInOtherRegion(const std::string& node) const {
  const auto* state = this->membership->GetView().Find(node);
  return state != nullptr && state->member.region != this->settings.region;
}

AttemptSender::AnswerHandler Node::Implementation::ChargingLink(
    AttemptSender::AnswerHandler handler) {
  return [this, handler = std::move(handler)](tl::expected<peer::Answer, peer::LinkError> ended) {
    if (ended) this->link_budget.Charge(ended->body.size(), SteadyClock::now());
    handler(std::move(ended));
  };
}

void Node::Implementation::SendCall(const peer::PeerAddress& address, peer::Call call,
                                    SteadyTime deadline, AttemptSender::AnswerHandler handler) {
  if (address.node != this->settings.node) {
    if (this->IsInOtherRegion(address.node)) handler = this->ChargingLink(std::move(handler));
    this->links->Send(address, std::move(call), deadline + kTruthGrace, std::move(handler));
    return;
  }
  // The local target's own node: no link, but still a later turn of the loop.
  asio::post(this->loop, [this, call = std::move(call), handler = std::move(handler)]() mutable {
    this->target->OnCall(std::move(call), [this, handler](peer::Answer answer) {
      asio::post(this->loop,
                 [handler, answer = std::move(answer)]() mutable { handler(std::move(answer)); });
    });
  });
}

DispatchServices Node::Implementation::MakeDispatchServices() {
  DispatchServices services;
  services.timers = &this->timers;
  services.directory = this->directory.get();
  services.chooser = &this->chooser;
  services.sender = this->sender.get();
  services.budgets = &this->budgets;
  services.fixed_retries = this->settings.decisions_off;
  services.count_repeat = [this](const OutboundCall& call, bool is_move) {
    this->metrics.CountRepeat(call, is_move);
  };
  services.bind_key = [this](const std::string& service, const std::string& key,
                             std::string proposed, DispatchServices::TicketHandler handler) {
    if (!this->key_binder) {
      handler(tl::unexpected(RefusalReason::kStoreUnavailable));
      return;
    }
    this->key_binder->Bind(service, key, std::move(proposed), [handler](auto standing) {
      handler(ToTicketAnswer(std::move(standing)));
    });
  };
  services.move_key = [this](const std::string& service, const std::string& key, std::string from,
                             std::string to, DispatchServices::TicketHandler handler) {
    if (!this->key_binder) {
      handler(tl::unexpected(RefusalReason::kStoreUnavailable));
      return;
    }
    this->key_binder->Move(service, key, std::move(from), std::move(to), [handler](auto standing) {
      handler(ToTicketAnswer(std::move(standing)));
    });
  };
  return services;
}

std::optional<std::string> Node::Implementation::MintTicket(const records::RoutePolicy& route) {
  const auto key = policy::KeyFor(static_cast<std::uint32_t>(route.rank), Id128::Random());
  const policy::CallClass call_class{route.class_name, static_cast<std::uint32_t>(route.rank),
                                     route.may_leave_region};
  const policy::TargetQuery query{route.service, LevelKey(route), call_class, key, {}, 0};
  const auto choice =
      this->chooser.Choose(query, this->directory->CandidatesOf(route.service), SteadyClock::now());
  if (!choice) return std::nullopt;
  const auto window = this->directory->TicketWindowOf(choice->node);
  return policy::Ticket::Mint(choice->node, choice->incarnation, window).ToText();
}

CallerService::Hooks Node::Implementation::CallerHooks() {
  CallerService::Hooks hooks;
  hooks.configuration = [this] { return this->records->InForce(); };
  hooks.mint_ticket = [this](const records::RoutePolicy& route) { return this->MintTicket(route); };
  hooks.on_ended = [this](const OutboundCall& call, const CallResult& result, Duration latency) {
    this->metrics.OnEnded(call, result, latency);
  };
  hooks.stopping = [this] { return this->stopping; };
  return hooks;
}

AdminService::Hooks Node::Implementation::AdminHooks() {
  AdminService::Hooks hooks;
  hooks.on_announcement = [this](const TargetAnnouncement& announcement) {
    this->target_watcher->OnAnnouncement(announcement);
    return this->target->OpenCalls();
  };
  hooks.render_metrics = [this] { return this->metrics.Render(); };
  hooks.collect_fleet = [this](std::function<void(std::string)> respond) {
    this->membership->CollectFleet(
        [respond](const membership::FleetReport& report) { respond(ToJson(report)); });
  };
  hooks.describe_records = [this] { return this->records->Describe(); };
  hooks.describe_targets = [this] { return this->directory->Describe(); };
  hooks.ready = [this] { return this->records->InForce() != nullptr && !this->stopping; };
  return hooks;
}

void Node::Implementation::CreateServers() {
  this->admin_service = std::make_unique<AdminService>(this->AdminHooks());
  this->admin_server = std::make_unique<http::Server>(
      this->loop,
      http::ServerOptions{this->settings.address, this->settings.admin_port, kMaxAdminBodyBytes,
                          kAdminConnections},
      [this](http::Request request, std::shared_ptr<http::Exchange> exchange) {
        this->admin_service->OnRequest(request, exchange);
      });
  this->caller_server = std::make_unique<http::Server>(
      this->loop,
      http::ServerOptions{this->settings.address, this->settings.caller_port,
                          this->settings.max_body_bytes, this->settings.max_connections},
      [this](http::Request request, std::shared_ptr<http::Exchange> exchange) {
        this->caller_service->OnRequest(std::move(request), exchange);
      });
  this->drain = std::make_unique<NodeDrain>(
      this->timers, this->settings.stop_limit,
      NodeDrain::Hooks{[this] { return this->Busy(); },
                       [this] { return this->link_server->RetainedAnswers() > 0; }});
}

bool Node::Implementation::Busy() const {
  return this->target->OpenCalls() > 0 || this->dispatcher->InProgress() > 0 ||
         this->caller_server->OpenExchanges() > 0;
}

void Node::Implementation::AddParts() {
  this->control_supervisor.Add(this->ControlPart());
  this->control_supervisor.Add(this->RecordsPart());
  if (this->roster) this->control_supervisor.Add(this->RosterPart());
  this->call_supervisor.Add(this->LinksPart());
  this->call_supervisor.Add(this->ServerPart("caller-server", *this->caller_server));
  this->root.Add(this->ServerPart("admin-server", *this->admin_server));
  this->root.Add(this->control_supervisor.AsPart());
  this->root.Add(this->call_supervisor.AsPart());
  this->root.Add(this->DrainPart());
}

Part Node::Implementation::ControlPart() {
  Part part;
  part.name = "membership";
  part.start = [this]() -> tl::expected<void, std::string> {
    membership::ZeroMqTransportOptions options;
    options.ip = this->settings.address;
    options.port = this->settings.control_port;
    try {
      this->transport = std::make_unique<membership::ZeroMqTransport>(
          this->timers, options,
          [this](std::string_view bytes) { this->membership->OnMessage(bytes); });
    } catch (const std::runtime_error& error) {
      return tl::unexpected(std::string(error.what()));
    }
    for (const auto& seed : this->settings.seeds) this->membership->AddContact(seed);
    this->membership->SetTicketWindow(this->target->TicketWindow());
    this->membership->Start();
    this->window_timer = this->timers.Every(kTicketWindowPeriod, [this] {
      this->membership->SetTicketWindow(this->target->TicketWindow());
    });
    return {};
  };
  part.stop = [this](std::function<void()> done) {
    this->window_timer.Reset();
    this->membership->Leave(std::move(done));
  };
  return part;
}

Part Node::Implementation::RecordsPart() {
  Part part;
  part.name = "records";
  part.start = [this]() -> tl::expected<void, std::string> {
    this->records->Start(*this->membership);
    return {};
  };
  part.stop = [this](const std::function<void()>& done) {
    this->records->Stop();
    done();
  };
  return part;
}

void Node::Implementation::RefreshContacts() {
  const bool reunion_due = ++this->contact_rounds % kReunionPeriods == 0;
  const bool look_for_others = this->membership->WantsWatch() && reunion_due;
  if (this->membership->HasJoined() && !look_for_others) return;
  store::ReadRoster(*this->store, this->settings.cluster, [this](auto entries) {
    if (!entries) return;
    for (const auto& entry : *entries) {
      if (entry.node != this->settings.node) this->membership->AddContact(entry.control_address);
    }
  });
}

Part Node::Implementation::RosterPart() {
  Part part;
  part.name = "roster";
  part.start = [this]() -> tl::expected<void, std::string> {
    this->roster->Start();
    this->RefreshContacts();
    this->contact_timer = this->timers.Every(kContactPeriod, [this] { this->RefreshContacts(); });
    return {};
  };
  part.stop = [this](std::function<void()> done) {
    this->contact_timer.Reset();
    this->roster->Leave(std::move(done));
  };
  return part;
}

Part Node::Implementation::LinksPart() {
  Part part;
  part.name = "links";
  part.start = [this] { return this->link_server->Start(); };
  part.stop = [this](const std::function<void()>& done) {
    this->link_server->Close();
    this->links->Close();
    done();
  };
  return part;
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
    this->stopping = true;
    this->target_watcher->LeaveForGood();
    this->drain->Start(std::move(done));
  };
  return part;
}

Node::Node(asio::io_context& loop, NodeSettings node_settings)
    : implementation(std::make_unique<Implementation>(loop, std::move(node_settings))) {}

Node::~Node() = default;

tl::expected<void, std::string> Node::Start() { return this->implementation->Start(); }

void Node::Stop(std::function<void()> done) { this->implementation->Stop(std::move(done)); }

}  // namespace fireflyrun::node
