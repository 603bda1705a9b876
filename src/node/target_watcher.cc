#include "node/target_watcher.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "common/timer_service.h"
#include "http/headers.h"
#include "membership/membership.h"
#include "node/node_settings.h"
#include "node/target_service.h"

namespace fireflyrun::node {
namespace {

using membership::TargetState;

constexpr Duration kCheckPeriod = std::chrono::milliseconds(500);
/// Between questions to a target that wasn't found: doubles from the first to the longest.
constexpr Duration kFirstLookPause = std::chrono::seconds(1);
constexpr Duration kLongestLookPause = std::chrono::seconds(8);
/// A target that fails calls is asked at most once in this time, and not if it answers others.
constexpr Duration kDoubtPause = std::chrono::seconds(2);
constexpr Duration kFreshAnswer = std::chrono::milliseconds(250);
/// Of a target that was found by asking, until it or others of its service tell theirs.
constexpr std::uint32_t kPresumedSlots = 8;

}  // namespace

TargetWatcher::TargetWatcher(TimerService& timer_service, membership::Membership& fleet,
                             TargetService& target_service, const NodeSettings& node_settings,
                             Hooks watcher_hooks, SuspensionDetector suspension_detector)
    : membership(fleet),
      target(target_service),
      settings(node_settings),
      hooks(std::move(watcher_hooks)),
      suspension(std::move(suspension_detector)),
      look_pause(kFirstLookPause) {
  this->check_timer = timer_service.Every(kCheckPeriod, [this] { this->Check(); });
}

Findings TargetWatcher::OnAnnouncement(const TargetAnnouncement& announcement) {
  Findings foreign = this->FindForeign(announcement);
  if (!foreign.empty()) return foreign;
  if (this->IsReplaced(announcement)) return {};
  const auto& id = announcement.target.id;
  const bool leaves = announcement.state == TargetState::kLeaving;
  // A run never takes back that it leaves, so even a late word of that holds.
  if (leaves) this->departed.Add(id, announcement.born);
  if (this->IsStale(announcement)) {
    const bool same_run = id == this->latest.target.id && announcement.born == this->latest.born;
    if (same_run && leaves && this->last_heard) this->SetLeaving();
    return {};
  }
  this->TakeOver(announcement);
  this->Follow();
  return {};
}

Findings TargetWatcher::FindForeign(const TargetAnnouncement& announcement) const {
  Findings findings;
  const auto& said = announcement.target;
  const bool other_service =
      !this->settings.target_service.empty() && said.service != this->settings.target_service;
  if (other_service) findings.push_back({"/service", "is not the service of this host"});
  if (this->settings.target_address.empty()) return findings;
  if (said.address != this->settings.target_address) {
    findings.push_back({"/address", "is not where this host's target is"});
  }
  // A site that says so much of its targets has them say all of themselves.
  if (!announcement.has_state_and_seq) findings.push_back({"/", "lacks \"state\" or \"seq\""});
  const bool id_needed = !this->settings.wire.expected_target.empty();
  if (id_needed && !http::IsToken(said.id)) findings.push_back({"id", "is not that of a target"});
  return findings;
}

void TargetWatcher::OnDeparture(const std::string& id, std::uint64_t born) {
  const bool same_id = !id.empty() && id == this->latest.target.id;
  const bool of_earlier_run = born != 0 && born < this->latest.born;
  const bool same_run = same_id && !of_earlier_run;
  this->departed.Add(id, same_run && born == 0 ? this->latest.born : born);
  if (same_run && this->last_heard) this->SetLeaving();
}

bool TargetWatcher::IsStale(const TargetAnnouncement& announcement) const {
  if (announcement.born != this->latest.born) return announcement.born < this->latest.born;
  const bool same_id = announcement.target.id == this->latest.target.id;
  // Of a run that was found gone when the present one was found.
  if (!same_id) return this->presumed && this->last_heard && announcement.born != 0;
  const bool restarted = announcement.born == 0 && !this->last_heard;
  return announcement.seq != 0 && announcement.seq <= this->latest.seq && !restarted;
}

void TargetWatcher::TakeOver(const TargetAnnouncement& announcement) {
  const bool other_run =
      announcement.target.id != this->latest.target.id || announcement.born != this->latest.born;
  if (other_run || !this->last_heard) {
    Log(LogLevel::kInfo, "target",
        "event=announced service=" + announcement.target.service + " id=" + announcement.target.id +
            " born=" + std::to_string(announcement.born));
  }
  this->last_heard = SteadyClock::now();
  this->latest = announcement;
  this->presumed = false;
  this->looking = false;
  this->target.SetTarget(announcement.target);
}

void TargetWatcher::Follow() {
  const auto& run = this->latest;
  this->membership.AnnounceTarget(run.target.service, run.target.slots);
  const bool leaves =
      run.state == TargetState::kLeaving || this->departed.Contains(run.target.id, run.born);
  if (this->node_stopping || leaves) {
    this->SetLeaving();
    return;
  }
  this->serving = true;
  this->target.SetLeaving(false);
  this->membership.SetTargetState(TargetState::kServing);
}

bool TargetWatcher::IsReplaced(const TargetAnnouncement& announcement) const {
  const TargetAddress* current = this->target.Target();
  const bool other_serves =
      current != nullptr && this->serving && current->address != announcement.target.address;
  return other_serves && announcement.state == TargetState::kLeaving;
}

void TargetWatcher::SetLeaving() {
  this->serving = false;
  this->target.SetLeaving(true);
  this->membership.SetTargetState(TargetState::kLeaving);
}

void TargetWatcher::LeavePermanently() {
  this->node_stopping = true;
  if (this->last_heard) this->SetLeaving();
}

void TargetWatcher::Withdraw(std::string_view reason) {
  this->last_heard.reset();
  this->serving = false;
  Log(LogLevel::kWarning, "target", "event=withdrawn reason=" + std::string(reason));
  this->target.WithdrawTarget();
  this->membership.SetTargetState(TargetState::kAbsent);
}

void TargetWatcher::OnSettingsChanged() {
  const auto differs = [](const std::string& wanted, const std::string& said) {
    return !wanted.empty() && wanted != said;
  };
  const auto& known = this->latest.target;
  const bool moved = differs(this->settings.target_service, known.service) ||
                     differs(this->settings.target_address, known.address);
  if (!this->last_heard || !moved) return;
  this->Withdraw("moved");
  this->looking = true;
  this->next_look = SteadyTime();
}

void TargetWatcher::Check() {
  if (this->suspension.Check() > Duration::zero()) {
    if (this->last_heard) this->Withdraw("suspended");
    this->looking = true;
    this->asking = false;  // What was asked before is as old.
    this->next_look = SteadyTime();
    this->look_pause = kFirstLookPause;
  }
  if (this->looking && !this->node_stopping) this->LookForTarget();
  this->FollowPresumedSlots();
  this->CheckSilence();
}

bool TargetWatcher::Ask(const std::string& service, const std::string& address,
                        const Hooks::ProbeHandler& handler) {
  if (this->asking || !this->hooks.probe || service.empty() || address.empty()) return false;
  const auto path = this->hooks.health_path(service);
  if (!path) return false;
  this->asking = true;
  this->hooks.probe(address, *path, [this, handler](const ProbeResult& result) {
    this->asking = false;
    handler(result);
  });
  return true;
}

void TargetWatcher::LookForTarget() {
  const SteadyTime now = SteadyClock::now();
  if (now < this->next_look) return;
  const bool asked = this->Ask(this->settings.target_service, this->settings.target_address,
                               [this](const ProbeResult& result) { this->OnFound(result); });
  if (!asked) return;
  this->next_look = now + this->look_pause;
  this->look_pause = std::min(2 * this->look_pause, kLongestLookPause);
}

void TargetWatcher::OnFound(const ProbeResult& result) {
  if (!this->looking || this->node_stopping) return;
  // It drains, which it will say itself, or fails, which it may stop doing unheard.
  if (result.verdict == ProbeOutcome::kNotServing) this->looking = false;
  const bool id_missing = result.id.empty() && !this->settings.wire.expected_target.empty();
  if (result.verdict != ProbeOutcome::kServing || id_missing) return;
  TargetAnnouncement found = this->latest;
  const bool known = found.target.id == result.id &&
                     found.target.address == this->settings.target_address &&
                     found.target.service == this->settings.target_service;
  if (!known) {
    // It ran before this node did, so it is taken for warm.
    found.target = {this->settings.target_service, this->settings.target_address,
                    this->PresumedSlots(), result.id, 0.0};
    found.state = TargetState::kServing;
    found.seq = 0;
  }
  this->TakeOver(found);
  this->presumed = !known;
  this->Follow();
}

std::uint32_t TargetWatcher::PresumedSlots() const {
  if (!this->hooks.slots_elsewhere) return kPresumedSlots;
  std::uint32_t fewest = 0;
  for (const std::uint32_t slots : this->hooks.slots_elsewhere(this->settings.target_service)) {
    // Nodes that presume the least themselves are no news.
    if (slots > kPresumedSlots && (fewest == 0 || slots < fewest)) fewest = slots;
  }
  return std::max(kPresumedSlots, fewest);
}

void TargetWatcher::FollowPresumedSlots() {
  if (!this->presumed || !this->last_heard) return;
  const std::uint32_t slots = this->PresumedSlots();
  if (slots == this->latest.target.slots) return;
  this->latest.target.slots = slots;
  this->target.SetTarget(this->latest.target);
  this->membership.AnnounceTarget(this->latest.target.service, slots);
}

void TargetWatcher::CheckSilence() {
  if (!this->last_heard) return;
  const SteadyTime last_sign = std::max(*this->last_heard, this->last_answer);
  if (this->asking || SteadyClock::now() - last_sign < this->settings.announcement_limit) return;
  // A late announcement is no death.
  const auto& known = this->latest.target;
  const bool asked =
      this->serving && this->Ask(known.service, known.address, [this](const ProbeResult& result) {
        if (!this->last_heard) return;
        const bool same_run = result.id.empty() || result.id == this->latest.target.id;
        const bool there =
            result.verdict == ProbeOutcome::kServing || result.verdict == ProbeOutcome::kBusy;
        if (there && same_run) {
          this->last_heard = SteadyClock::now();
        } else {
          this->Withdraw("silent");
        }
      });
  if (!asked) this->Withdraw("silent");
}

void TargetWatcher::OnFailure() {
  const SteadyTime now = SteadyClock::now();
  const bool answers = now - this->last_answer < kFreshAnswer;
  if (!this->last_heard || now < this->next_doubt || answers) return;
  const auto& known = this->latest.target;
  const bool asked = this->Ask(known.service, known.address, [this](const ProbeResult& result) {
    if (this->last_heard && result.verdict == ProbeOutcome::kConnectionRefused)
      this->Withdraw("gone");
  });
  if (asked) this->next_doubt = now + kDoubtPause;
}

}  // namespace fireflyrun::node
