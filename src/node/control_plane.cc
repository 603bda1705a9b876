#include "node/control_plane.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "common/timer_service.h"
#include "http/client.h"
#include "membership/member_state.h"
#include "membership/membership.h"
#include "membership/record_hooks.h"
#include "membership/view.h"
#include "membership/zero_mq_transport.h"
#include "node/membership_log.h"
#include "node/node_metrics.h"
#include "node/process_metrics.h"
#include "node/record_keeper.h"
#include "store/etcd_store.h"
#include "store/key_binder.h"
#include "store/observed_store.h"
#include "store/record_source.h"
#include "store/record_store.h"
#include "store/roster.h"

namespace fireflyrun::node {
namespace {

using policy::RefusalReason;

constexpr Duration kTicketWindowPeriod = std::chrono::seconds(1);
constexpr Duration kContactPeriod = std::chrono::milliseconds(500);
/// A node that reaches no other node for this long becomes ready alone.
constexpr Duration kDiscoveryLimit = std::chrono::seconds(5);
/// Contact periods between searches for parts of the fleet that were never contacted. Delegates and
/// nodes that miss members of the roster search.
constexpr unsigned kRediscoveryPeriods = 60;

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

std::unique_ptr<store::Store> MakeEtcdStore(http::Client& client, TimerService& timers,
                                            const NodeSettings& settings) {
  store::EtcdStoreOptions options;
  options.endpoints = settings.store_endpoints;
  return std::make_unique<store::EtcdStore>(client, timers, options);
}

double AgeSeconds(const records::Configuration* configuration) {
  if (configuration == nullptr) return -1;
  return std::chrono::duration<double>(SteadyClock::now() - configuration->BuiltAt()).count();
}

double CountMembers(const membership::View& view, membership::Reachability reachability) {
  double count = 0;
  for (const auto& zone : view.Zones()) {
    for (const auto* state : view.MembersOf(zone)) {
      if (state->IsPresent() && state->reachability == reachability) count += 1;
    }
  }
  return count;
}

tl::expected<std::string, RefusalReason> ToTicketAnswer(
    tl::expected<std::string, store::StoreError> bound_ticket) {
  if (!bound_ticket) return tl::unexpected(RefusalReason::kStoreUnavailable);
  return std::move(*bound_ticket);
}

}  // namespace

ControlPlane::ControlPlane(TimerService& timer_service, http::Client& http_client,
                           const NodeSettings& node_settings, std::uint64_t own_incarnation,
                           const PlatformAdapter& platform)
    : timers(timer_service), settings(node_settings), supervisor(timer_service, "control") {
  this->CreateStore(http_client, platform);
  this->CreateMembership(own_incarnation);
  this->supervisor.Add(this->MembershipComponent());
  this->supervisor.Add(this->RecordsComponent());
  if (this->roster) this->supervisor.Add(this->RosterComponent());
}

ControlPlane::~ControlPlane() = default;

Component ControlPlane::AsComponent(std::function<std::uint32_t()> ticket_window) {
  this->current_window = std::move(ticket_window);
  return this->supervisor.AsComponent();
}

void ControlPlane::CreateStore(http::Client& client, const PlatformAdapter& platform) {
  if (!this->settings.store_endpoints.empty()) {
    this->store = std::make_unique<store::ObservedStore>(
        platform.make_store ? platform.make_store(client, this->timers, this->settings)
                            : MakeEtcdStore(client, this->timers, this->settings));
    if (platform.make_record_source) {
      this->record_source = platform.make_record_source(*this->store, this->timers, this->settings);
    } else {
      this->record_source =
          std::make_unique<store::RecordStore>(*this->store, this->timers, this->settings.cluster);
    }
    this->key_binder =
        std::make_unique<store::KeyBinder>(*this->store, this->timers, this->settings.cluster);
    this->roster = std::make_unique<store::Roster>(
        *this->store, this->timers, this->settings.cluster, SelfRosterEntry(this->settings));
  }
  this->records = std::make_unique<RecordKeeper>(this->timers, this->record_source.get(),
                                                 platform.every_node_follows_source);
}

void ControlPlane::CreateMembership(std::uint64_t incarnation) {
  membership::MembershipOptions options;
  options.cluster = this->settings.cluster;
  options.self = SelfMember(this->settings, incarnation);
  const auto send = [this](const std::string& address, std::string bytes) {
    if (this->transport) this->transport->Send(address, std::move(bytes));
  };
  this->membership = std::make_unique<membership::Membership>(this->timers, options, send,
                                                              this->MembershipHooks());
  this->membership_log = std::make_unique<MembershipLog>(*this->membership);
}

membership::RecordHooks ControlPlane::MembershipHooks() {
  membership::RecordHooks hooks = this->records->Hooks();
  if (!this->store) return hooks;
  hooks.store_generation = [this] { return this->store->Generation().Number(); };
  hooks.on_store_generation = [this](std::uint64_t generation) {
    this->store->Generation().Observe(generation);
  };
  return hooks;
}

void ControlPlane::OnConfiguration(std::function<void(const records::Configuration&)> hook) {
  this->records->OnConfiguration(std::move(hook));
}

void ControlPlane::AddMetrics(NodeMetrics* metrics) const {
  const auto counters = [this]() -> const auto& { return this->membership->Counters(); };
  metrics->AddGauge("fireflyrun_records_revision", "Revision of the records in force.", [this] {
    return static_cast<double>(this->records->Book().Revision().number);
  });
  metrics->AddGauge("fireflyrun_records_problems",
                    "Findings about the newest records, which are not in force as written.",
                    [this] { return static_cast<double>(this->records->Problems().size()); });
  metrics->AddGauge("fireflyrun_members", "Known nodes, including this one.", [this] {
    return static_cast<double>(this->membership->GetView().CountPresent());
  });
  metrics->AddGauge("fireflyrun_records_age_seconds",
                    "Time since the records in force took effect; -1 without records.",
                    [this] { return AgeSeconds(this->records->InForce().get()); });
  for (const auto& [reachability, name] : membership::kReachabilityNames.Entries()) {
    metrics->AddGauge("fireflyrun_members_by_state",
                      "Known nodes, including this one, by reachability state.",
                      [this, reachability = reachability] {
                        return CountMembers(this->membership->GetView(), reachability);
                      },
                      {{"state", std::string(name)}});
  }
  AddStoreMetrics(this->store.get(), metrics);
  metrics->AddCounter("fireflyrun_control_sent_bytes_total", "Control bytes sent.",
                      [counters] { return static_cast<double>(counters().bytes_sent); });
  metrics->AddCounter("fireflyrun_control_received_bytes_total", "Control bytes received.",
                      [counters] { return static_cast<double>(counters().bytes_received); });
  metrics->AddCounter("fireflyrun_control_sent_messages_total", "Control messages sent.",
                      [counters] { return static_cast<double>(counters().messages_sent); });
}

void ControlPlane::BindKey(const std::string& service, const std::string& key, std::string proposed,
                           const DispatchServices::TicketHandler& handler) {
  if (!this->key_binder) {
    handler(tl::unexpected(RefusalReason::kStoreUnavailable));
    return;
  }
  this->key_binder->Bind(service, key, std::move(proposed), [handler](auto bound_ticket) {
    handler(ToTicketAnswer(std::move(bound_ticket)));
  });
}

void ControlPlane::MoveKey(const std::string& service, const std::string& key, std::string from,
                           std::string to, const DispatchServices::TicketHandler& handler) {
  if (!this->key_binder) {
    handler(tl::unexpected(RefusalReason::kStoreUnavailable));
    return;
  }
  this->key_binder->Replace(
      service, key, std::move(from), std::move(to),
      [handler](auto bound_ticket) { handler(ToTicketAnswer(std::move(bound_ticket))); });
}

Component ControlPlane::MembershipComponent() {
  Component component;
  component.name = "membership";
  component.start = [this]() -> tl::expected<void, std::string> {
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
    this->started = SteadyClock::now();
    const std::string own =
        Endpoint(AdvertisedAddress(this->settings), this->settings.control_port);
    const auto& seeds = this->settings.seeds;
    this->seems_alone = !this->roster && std::all_of(seeds.begin(), seeds.end(),
                                                     [&](const auto& seed) { return seed == own; });
    this->seemed_alone = this->seems_alone;
    for (const auto& seed : seeds) this->membership->AddContact(seed);
    this->membership->SetTicketWindow(this->current_window());
    this->membership->Start();
    this->window_timer = this->timers.Every(
        kTicketWindowPeriod, [this] { this->membership->SetTicketWindow(this->current_window()); });
    return {};
  };
  component.stop = [this](std::function<void()> done) {
    this->window_timer.Reset();
    this->membership->Leave(std::move(done));
  };
  return component;
}

Component ControlPlane::RecordsComponent() {
  Component component;
  component.name = "records";
  component.start = [this]() -> tl::expected<void, std::string> {
    this->records->Start(*this->membership);
    return {};
  };
  component.stop = [this](const std::function<void()>& done) {
    this->records->Stop();
    done();
  };
  return component;
}

void ControlPlane::RefreshContacts() {
  const bool rediscovery_due = ++this->contact_rounds % kRediscoveryPeriods == 0;
  const bool members_missing =
      this->membership->ShouldWatchStore() || !this->AllRosterNodesPresent();
  const bool rediscover = members_missing && rediscovery_due;
  if (this->membership->HasJoined() && !rediscover) return;
  store::ReadRoster(*this->store, this->settings.cluster, [this](auto entries) {
    if (!entries) return;
    std::vector<std::string> others;
    bool is_entered = false;
    for (const auto& entry : *entries) {
      is_entered = is_entered || entry.node == this->settings.node;
      if (entry.node == this->settings.node) continue;
      others.push_back(entry.node);
      this->membership->AddContact(entry.control_address);
    }
    // An empty roster tells nothing: others may not have come to enter it yet, either.
    this->seems_alone = is_entered && others.empty();
    if (this->seems_alone) this->seemed_alone = true;
    this->roster_nodes = std::move(others);
  });
}

void ControlPlane::LeaveRoster() {
  if (!this->roster || std::exchange(this->left_roster, true)) return;
  this->contact_timer.Reset();
  this->roster->Leave([] {});
}

bool ControlPlane::HasDiscoveredFleet() const {
  const bool limit_passed = SteadyClock::now() - this->started >= kDiscoveryLimit;
  return this->membership->HasJoined() || this->seemed_alone || limit_passed;
}

bool ControlPlane::AllRosterNodesPresent() const {
  if (!this->roster) return true;
  if (!this->roster_nodes) return false;
  const membership::View& view = this->membership->GetView();
  return std::all_of(this->roster_nodes->begin(), this->roster_nodes->end(),
                     [&view](const std::string& node) {
                       const auto* state = view.Find(node);
                       return state != nullptr && state->IsPresent();
                     });
}

bool ControlPlane::HasDiscoveredAllMembers() const {
  return (this->membership->HasJoined() || this->seems_alone) && this->AllRosterNodesPresent();
}

Component ControlPlane::RosterComponent() {
  Component component;
  component.name = "roster";
  component.start = [this]() -> tl::expected<void, std::string> {
    this->left_roster = false;
    this->roster->Start();
    this->RefreshContacts();
    this->contact_timer = this->timers.Every(kContactPeriod, [this] { this->RefreshContacts(); });
    return {};
  };
  component.stop = [this](const std::function<void()>& done) {
    this->LeaveRoster();
    done();
  };
  return component;
}

}  // namespace fireflyrun::node
