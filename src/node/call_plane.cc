#include "node/call_plane.h"

#include <utility>

#include "common/random.h"
#include "common/timer_service.h"
#include "http/target_client.h"
#include "membership/member_state.h"
#include "membership/membership.h"
#include "membership/view.h"
#include "membership/view_change.h"
#include "node/call_dispatcher.h"
#include "node/control_plane.h"
#include "node/level_key.h"
#include "node/node_metrics.h"
#include "node/record_keeper.h"
#include "node/request_log.h"
#include "node/stop_times.h"
#include "node/target_announcement.h"
#include "node/target_directory.h"
#include "node/target_probe.h"
#include "peer/link_pool.h"
#include "peer/link_server.h"
#include "policy/drain_policy.h"
#include "policy/fleet_retry_bound.h"
#include "records/configuration.h"

namespace fireflyrun::node {
namespace {

constexpr double kLinkBurstSeconds = 2;
/// Time after the deadline in which a target's node can report that it dropped the call. Without
/// it, the caller would get "unknown" for a call that is known not to have run.
constexpr Duration kOutcomeReportGrace = std::chrono::milliseconds(50);

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

policy::FleetRetryBound MakeRetryBound(const NodeSettings& settings) {
  return {settings.retry_window, settings.retry_ratio, settings.retry_extra, settings.retry_levels};
}

policy::TargetChooserOptions MakeChooserOptions(const NodeSettings& settings) {
  policy::TargetChooserOptions options;
  options.node = settings.node;
  options.zone = settings.zone;
  options.region = settings.region;
  return options;
}

}  // namespace

CallPlane::CallPlane(TimerService& timer_service, http::TargetClient& http_client,
                     const NodeSettings& node_settings, std::uint64_t own_incarnation,
                     std::shared_ptr<policy::HeldBytes> body_bytes, ControlPlane& control_plane,
                     NodeMetrics& node_metrics)
    : timers(timer_service),
      settings(node_settings),
      held_bytes(std::move(body_bytes)),
      control(control_plane),
      metrics(node_metrics),
      fleet_retry_share(control_plane.Fleet(), MakeRetryBound(node_settings),
                        [this] { return this->control.HasDiscoveredAllMembers(); }),
      budgets(std::make_unique<RetryBudgets>(
          MakeRetryBound(node_settings),
          [this] { return this->fleet_retry_share.HoldsFreeRetry(); })),
      link_budget(node_settings.link_bytes_per_second,
                  node_settings.link_bytes_per_second * kLinkBurstSeconds, SteadyClock::now()),
      chooser(MakeChooserOptions(node_settings),
              {[](std::uint64_t bound) { return RandomBelow(bound); },
               [this](std::uint64_t bytes, SteadyTime now) {
                 return this->link_budget.TryTake(bytes, now);
               },
               LogEjection}),
      directory(std::make_unique<TargetDirectory>(control_plane.Fleet())),
      local_calls(timer_service.Loop(), LocalCallHooks()) {
  this->ForgetDepartedTargets();
  this->CreateTarget(http_client, own_incarnation);
  this->CreateLinks(own_incarnation);
  this->sender = std::make_unique<AttemptSender>(this->SenderHooks(), this->chooser);
  this->dispatcher = std::make_unique<CallDispatcher>(this->MakeDispatchServices());
  this->caller_service = std::make_unique<CallerService>(*this->dispatcher, this->contexts,
                                                         this->settings.wire, this->CallerHooks());
}

CallPlane::~CallPlane() = default;

void CallPlane::ForgetDepartedTargets() {
  this->control.Fleet().Subscribe(
      [this](membership::ViewChange change, const membership::MemberState& state) {
        const bool departed = change == membership::ViewChange::kRemoved || !state.IsPresent();
        if (departed) this->chooser.Forget(state.member.node);
      });
}

void CallPlane::CreateTarget(http::TargetClient& client, std::uint64_t incarnation) {
  TargetService::Options options;
  options.node = this->settings.node;
  options.incarnation = incarnation;
  options.max_body_bytes = this->settings.max_body_bytes;
  options.admit_all = this->settings.decisions_off;
  options.wire = this->settings.wire;
  options.admission.queue_target = this->settings.queue_target;
  options.held_bytes = this->held_bytes;
  this->target = std::make_unique<TargetService>(this->timers, client, this->contexts, options,
                                                 this->TargetHooks());
  this->target_probe = std::make_unique<TargetProbe>(client, this->settings.wire);
  this->target_watcher = std::make_unique<TargetWatcher>(
      this->timers, this->control.Fleet(), *this->target, this->settings, this->WatcherHooks());
}

TargetService::Hooks CallPlane::TargetHooks() {
  TargetService::Hooks hooks = this->metrics.TargetHooks();
  hooks.on_answered = [this, count = std::move(hooks.on_answered)](const InboundCall& inbound,
                                                                   Duration service_time) {
    if (this->target_watcher) this->target_watcher->OnAnswer();
    count(inbound, service_time);
  };
  hooks.on_refused = [this, count = std::move(hooks.on_refused)](const InboundCall& inbound,
                                                                 policy::RefusalReason reason) {
    const bool failed = reason == policy::RefusalReason::kTargetFailed;
    if (failed && this->target_watcher) this->target_watcher->OnFailure();
    count(inbound, reason);
  };
  hooks.service_policy = [this](const std::string& service) { return this->PolicyOf(service); };
  return hooks;
}

LocalCalls::Hooks CallPlane::LocalCallHooks() {
  LocalCalls::Hooks hooks;
  hooks.on_call = [this](peer::Call call, LocalCalls::AnswerHandler handler) {
    this->target->OnCall(std::move(call), std::move(handler));
  };
  hooks.on_cancel = [this](const Id128& call_id) { this->target->OnCancel(call_id); };
  return hooks;
}

TargetWatcher::Hooks CallPlane::WatcherHooks() {
  TargetWatcher::Hooks hooks;
  hooks.probe = [this](const std::string& address, const std::string& path,
                       TargetProbe::Handler handler) {
    this->target_probe->Send(address, path, std::move(handler));
  };
  hooks.health_path = [this](const std::string& service) -> std::optional<std::string> {
    const auto* policy = this->PolicyOf(service);
    return policy == nullptr ? std::nullopt : policy->health_path;
  };
  hooks.slots_elsewhere = [this](const std::string& service) {
    std::vector<std::uint32_t> slots;
    for (const auto& candidate : this->directory->CandidatesOf(service)) {
      if (candidate.node != this->settings.node) slots.push_back(candidate.slots);
    }
    return slots;
  };
  return hooks;
}

const records::ServicePolicy* CallPlane::PolicyOf(const std::string& service) const {
  const auto configuration = this->control.Records().InForce();
  return configuration ? configuration->FindServicePolicy(service) : nullptr;
}

void CallPlane::CreateLinks(std::uint64_t incarnation) {
  auto link_options = MakeLinkOptions(this->settings, incarnation);
  link_options.held_bytes = this->held_bytes;
  this->links = std::make_unique<peer::LinkPool>(this->timers, link_options);
  this->link_server = std::make_unique<peer::LinkServer>(
      this->timers, link_options,
      [this](peer::Call call, peer::LinkServer::Reply reply) {
        this->target->OnCall(std::move(call), std::move(reply));
      },
      [this](const Id128& call_id) { this->target->OnCancel(call_id); });
}

Component CallPlane::LinksComponent() {
  Component component;
  component.name = "links";
  component.start = [this] { return this->link_server->Start(); };
  component.stop = [this](const std::function<void()>& done) {
    this->link_server->Close();
    this->links->Close();
    done();
  };
  return component;
}

void CallPlane::AddMetrics(NodeMetrics* out) const {
  out->AddGauge(
      "fireflyrun_admission_limit", "Calls that may run at the target at the same time.",
      [this] { return static_cast<double>(this->target->Admission().Limit(SteadyClock::now())); });
  out->AddGauge("fireflyrun_admission_in_flight", "Calls running at the target.",
                [this] { return static_cast<double>(this->target->Admission().InFlight()); });
  out->AddGauge("fireflyrun_admission_queue_length", "Calls waiting for the target.",
                [this] { return static_cast<double>(this->target->Admission().QueueLength()); });
  out->AddGauge("fireflyrun_admission_level_rank",
                "Rank up to which calls are admitted; the largest number when all are.",
                [this] { return static_cast<double>(this->target->Admission().Level().rank); });
  out->AddGauge("fireflyrun_target_slots", "Slots that the target announced; 0 without a target.",
                [this] {
                  const TargetAddress* address = this->target->Target();
                  return address == nullptr ? 0.0 : static_cast<double>(address->slots);
                });
  out->AddGauge("fireflyrun_retry_budget_left", "Available retries, over all services.",
                [this] { return this->budgets->Available(); });
  out->AddGauge("fireflyrun_calls_in_progress", "Calls that began at this node and have not ended.",
                [this] { return static_cast<double>(this->dispatcher->InProgress()); });
  out->AddGauge("fireflyrun_tickets", "Tickets in the ledger.",
                [this] { return static_cast<double>(this->target->Ledger().Entries()); });
  out->AddGauge("fireflyrun_open_links", "Links to other nodes.",
                [this] { return static_cast<double>(this->links->OpenLinks()); });
  this->AddCancelMetrics(out);
}

void CallPlane::AddCancelMetrics(NodeMetrics* out) const {
  for (const auto& [stage, name] : kCancelStageNames.Entries()) {
    out->AddCounter(
        "fireflyrun_target_calls_cancelled_total",
        "Calls whose callers left, by how far they had come at the target's node.",
        [this, stage = stage] { return static_cast<double>(this->target->CancelledCalls(stage)); },
        {{"stage", std::string(name)}});
  }
  out->AddCounter("fireflyrun_link_cancels_sent_total", "Cancels sent to other nodes.",
                  [this] { return static_cast<double>(this->links->Counters().cancels); });
  out->AddCounter("fireflyrun_link_cancels_repeated_total",
                  "Cancels sent again, because their connection was lost.",
                  [this] { return static_cast<double>(this->links->Counters().cancels_repeated); });
  out->AddCounter(
      "fireflyrun_link_calls_timed_total", "Calls from other nodes that told how old they were.",
      [this] { return static_cast<double>(this->link_server->Counters().calls_timed); });
  out->AddCounter("fireflyrun_link_calls_expired_total",
                  "Calls from other nodes that arrived after their deadline.", [this] {
                    return static_cast<double>(this->link_server->Counters().calls_expired);
                  });
  out->AddCounter("fireflyrun_link_transit_seconds_total",
                  "Time from the writing of timed calls at their caller's node to their reading.",
                  [this] {
                    const Duration time = this->link_server->Counters().transit_time;
                    return std::chrono::duration<double>(time).count();
                  });
  out->AddCounter(
      "fireflyrun_orphaned_calls_total", "Calls cancelled because their caller's node was gone.",
      [this] { return static_cast<double>(this->link_server->Counters().calls_orphaned); });
}

void CallPlane::OnRequest(http::Request request, const std::shared_ptr<http::Exchange>& exchange) {
  this->caller_service->OnRequest(std::move(request), exchange);
}

tl::expected<std::size_t, Findings> CallPlane::OnAnnouncement(
    const TargetAnnouncement& announcement) {
  auto findings = this->target_watcher->OnAnnouncement(announcement);
  if (!findings.empty()) return tl::unexpected(std::move(findings));
  return this->target->OpenCallsOf(announcement.target.address);
}

void CallPlane::OnDeparture(const std::string& target_id, std::uint64_t born) {
  this->target_watcher->OnDeparture(target_id, born);
}

std::string CallPlane::DescribeTargets() const { return this->directory->Describe(); }

std::uint32_t CallPlane::TicketWindow() { return this->target->TicketWindow(); }

void CallPlane::OnConfiguration() {
  this->target->OnConfiguration();
  // The first records contain the health path, so a target that is already up can serve at once.
  this->target_watcher->Check();
}

void CallPlane::OnSettingsChanged() {
  const double rate = this->settings.link_bytes_per_second;
  this->link_budget.SetRate(rate, rate * kLinkBurstSeconds, SteadyClock::now());
  this->target_watcher->OnSettingsChanged();
}

void CallPlane::Leave(SteadyTime stop_began) {
  this->leaving = true;
  this->leaving_since = stop_began;
  const Duration passed = SteadyClock::now() - stop_began;
  // Until the callers have left, the target can still serve the other nodes.
  this->target_leave_timer =
      this->timers.After(StopTimesOf(this->settings).target_service_limit - passed,
                         [this] { this->target_watcher->LeavePermanently(); });
}

void CallPlane::OnDrainEnded() { this->dispatcher->OnDrainEnded(); }

bool CallPlane::MayStart(const OutboundCall& call) const {
  if (!this->leaving) return true;
  const StopTimes times = StopTimesOf(this->settings);
  const policy::DrainWindow window{this->leaving_since + times.notice,
                                   this->leaving_since + times.drain_limit};
  return policy::DrainPolicy::MayStart(window, call.deadline, SteadyClock::now());
}

bool CallPlane::HasOpenCalls() const {
  return this->target->OpenCalls() > 0 || this->dispatcher->InProgress() > 0;
}

bool CallPlane::HasUnclaimedAnswers() const { return this->link_server->RetainedAnswers() > 0; }

AttemptSender::Hooks CallPlane::SenderHooks() {
  AttemptSender::Hooks hooks;
  hooks.send = [this](const peer::PeerAddress& address, peer::Call call, SteadyTime deadline,
                      AttemptSender::AnswerHandler handler) {
    this->SendCall(address, std::move(call), deadline, std::move(handler));
  };
  hooks.cancel = [this](const std::string& node, const Id128& call_id) {
    if (node == this->settings.node) {
      this->local_calls.Cancel(call_id);
    } else {
      this->links->Cancel(call_id);
    }
  };
  hooks.one_way_delay = [this](const std::string& node) { return this->links->OneWayDelay(node); };
  hooks.report = [this](const std::string& node, bool answered) {
    if (answered) {
      this->control.Fleet().ReportSuccess(node);
    } else {
      this->control.Fleet().ReportFailure(node);
    }
  };
  return hooks;
}

DispatchServices CallPlane::MakeDispatchServices() {
  DispatchServices services;
  services.timers = &this->timers;
  services.directory = this->directory.get();
  services.chooser = &this->chooser;
  services.sender = this->sender.get();
  services.budgets = this->budgets.get();
  services.fixed_retries = this->settings.decisions_off;
  services.may_start = [this](const OutboundCall& call) { return this->MayStart(call); };
  services.count_repeat = [this](const OutboundCall& call, bool is_move) {
    this->metrics.CountRepeat(call, is_move);
  };
  services.bind_key = [this](const std::string& service, const std::string& key,
                             std::string proposed, const DispatchServices::TicketHandler& handler) {
    this->control.BindKey(service, key, std::move(proposed), handler);
  };
  services.move_key = [this](const std::string& service, const std::string& key, std::string from,
                             std::string to, const DispatchServices::TicketHandler& handler) {
    this->control.MoveKey(service, key, std::move(from), std::move(to), handler);
  };
  return services;
}

CallerService::Hooks CallPlane::CallerHooks() {
  CallerService::Hooks hooks;
  hooks.configuration = [this] { return this->control.Records().InForce(); };
  hooks.issue_ticket = [this](const records::CallPolicy& route) {
    return this->IssueTicket(route);
  };
  hooks.on_ended = [this](const OutboundCall& call, const CallResult& result, Duration latency) {
    this->metrics.OnEnded(call, result, latency);
  };
  hooks.may_start = [this](const OutboundCall& call) { return this->MayStart(call); };
  hooks.stopping = [this] { return this->leaving; };
  hooks.refuses_new_calls = [this](bool first_on_connection) {
    const bool notice_ended =
        SteadyClock::now() >= this->leaving_since + StopTimesOf(this->settings).notice;
    // If the process will be killed, even a call on a kept-alive connection may not end in time.
    const bool kill_follows = this->settings.stop_grace > Duration::zero();
    return this->leaving && notice_ended && (first_on_connection || kill_follows);
  };
  hooks.own_service = [this] { return this->OwnService(); };
  return hooks;
}

std::string CallPlane::OwnService() const {
  if (!this->settings.caller_service.empty()) return this->settings.caller_service;
  if (!this->settings.target_service.empty()) return this->settings.target_service;
  const TargetAddress* announced = this->target->Target();
  return announced == nullptr ? std::string() : announced->service;
}

bool CallPlane::IsInOtherRegion(const std::string& node) const {
  const auto* state = this->control.Fleet().GetView().Find(node);
  return state != nullptr && state->member.region != this->settings.region;
}

AttemptSender::AnswerHandler CallPlane::WithLinkCharge(AttemptSender::AnswerHandler handler) {
  return [this, handler = std::move(handler)](tl::expected<peer::Answer, peer::LinkError> ended) {
    if (ended) this->link_budget.Charge(ended->body.size(), SteadyClock::now());
    handler(std::move(ended));
  };
}

void CallPlane::SendCall(const peer::PeerAddress& address, peer::Call call, SteadyTime deadline,
                         AttemptSender::AnswerHandler handler) {
  if (address.node != this->settings.node) {
    if (this->IsInOtherRegion(address.node)) handler = this->WithLinkCharge(std::move(handler));
    this->links->Send(address, std::move(call), deadline + kOutcomeReportGrace, std::move(handler));
    return;
  }
  this->local_calls.Send(std::move(call), std::move(handler));
}

std::optional<std::string> CallPlane::IssueTicket(const records::CallPolicy& route) {
  const auto key = policy::KeyFor(static_cast<std::uint32_t>(route.rank), Id128::Random());
  const policy::CallClass call_class{route.class_name, static_cast<std::uint32_t>(route.rank),
                                     route.may_leave_region};
  const policy::TargetQuery query{route.service, LevelKey(route), call_class, key, {}, 0};
  const auto choice =
      this->chooser.Choose(query, this->directory->CandidatesOf(route.service), SteadyClock::now());
  if (!choice) return std::nullopt;
  const auto window = this->directory->TicketWindowOf(choice->node);
  return policy::Ticket::Issue(choice->node, choice->incarnation, window).ToText();
}

}  // namespace fireflyrun::node
