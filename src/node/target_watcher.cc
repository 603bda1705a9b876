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
/// Delay between probes for a target that wasn't found: doubles from the first to the maximum.
constexpr Duration kFirstSearchDelay = std::chrono::seconds(1);
constexpr Duration kMaxSearchDelay = std::chrono::seconds(8);
/// A target that fails calls is probed at most once in this period, and not if it answered another
/// call within `kRecentAnswerTime`.
constexpr Duration kFailureProbePeriod = std::chrono::seconds(2);
constexpr Duration kRecentAnswerTime = std::chrono::milliseconds(250);
/// Announcements of a run that a probe found not serving count once one arrives so long after the
/// first. Late copies of earlier announcements arrive together.
constexpr Duration kDoubtTime = std::chrono::seconds(1);
/// Slots of a target found by a probe, until it or other targets of its service announce theirs.
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
      search_delay(kFirstSearchDelay) {
  this->check_timer = timer_service.Every(kCheckPeriod, [this] { this->Check(); });
}

Findings TargetWatcher::OnAnnouncement(const TargetAnnouncement& announcement) {
  Findings mismatches = this->FindMismatches(announcement);
  if (!mismatches.empty()) return mismatches;
  if (this->IsReplaced(announcement)) return {};
  const auto& id = announcement.target.id;
  const bool leaves = announcement.state == TargetState::kLeaving;
  // A departure is final for its run, so it applies even if it arrives late.
  if (leaves) this->departed.Add(id, announcement.born);
  if (this->IsStale(announcement)) {
    const bool same_run = id == this->latest.target.id && announcement.born == this->latest.born;
    if (same_run && leaves && this->last_seen) this->SetLeaving();
    return {};
  }
  if (this->IsDoubted(announcement)) return {};
  this->AcceptAnnouncement(announcement);
  this->PublishState();
  return {};
}

bool TargetWatcher::IsDoubted(const TargetAnnouncement& announcement) {
  const bool concerned = !this->doubted_id.empty() && announcement.target.id == this->doubted_id;
  if (!concerned || announcement.state == TargetState::kLeaving || announcement.seq == 0) {
    return false;
  }
  const SteadyTime now = SteadyClock::now();
  if (this->doubted_seq == 0) {
    this->doubted_seq = announcement.seq;
    this->doubted_since = now;
  }
  const bool shown =
      announcement.seq > this->doubted_seq && now - this->doubted_since >= kDoubtTime;
  if (shown) this->doubted_id.clear();
  return !shown;
}

Findings TargetWatcher::FindMismatches(const TargetAnnouncement& announcement) const {
  Findings findings;
  const auto& given = announcement.target;
  const bool other_service =
      !this->settings.target_service.empty() && given.service != this->settings.target_service;
  if (other_service) findings.push_back({"/service", "is not the service of this host"});
  if (this->settings.target_address.empty()) return findings;
  if (given.address != this->settings.target_address) {
    findings.push_back({"/address", "is not the address of this host's target"});
  }
  // A site that configures the target's address has its targets send complete announcements.
  if (!announcement.has_state_and_seq) findings.push_back({"/", "lacks \"state\" or \"seq\""});
  const bool id_needed = !this->settings.wire.expected_target.empty();
  if (id_needed && !http::IsToken(given.id)) findings.push_back({"id", "is not a valid target id"});
  return findings;
}

void TargetWatcher::OnDeparture(const std::string& id, std::uint64_t born) {
  const bool same_id = !id.empty() && id == this->latest.target.id;
  const bool of_earlier_run = born != 0 && born < this->latest.born;
  const bool same_run = same_id && !of_earlier_run;
  this->departed.Add(id, same_run && born == 0 ? this->latest.born : born);
  if (same_run && this->last_seen) this->SetLeaving();
}

bool TargetWatcher::IsStale(const TargetAnnouncement& announcement) const {
  if (announcement.born != this->latest.born) return announcement.born < this->latest.born;
  const bool same_id = announcement.target.id == this->latest.target.id;
  // From a run that had ended before a probe found the present one.
  if (!same_id) return this->known_by_probe && this->last_seen && announcement.born != 0;
  const bool restarted = announcement.born == 0 && !this->last_seen;
  return announcement.seq != 0 && announcement.seq <= this->latest.seq && !restarted;
}

void TargetWatcher::AcceptAnnouncement(const TargetAnnouncement& announcement) {
  const bool other_run =
      announcement.target.id != this->latest.target.id || announcement.born != this->latest.born;
  if (other_run || !this->last_seen) {
    Log(LogLevel::kInfo, "target",
        "event=announced service=" + announcement.target.service + " id=" + announcement.target.id +
            " born=" + std::to_string(announcement.born));
  }
  this->last_seen = SteadyClock::now();
  this->latest = announcement;
  this->known_by_probe = false;
  this->searching = false;
  this->target.SetTarget(announcement.target);
}

void TargetWatcher::PublishState() {
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
  if (this->last_seen) this->SetLeaving();
}

void TargetWatcher::Withdraw(std::string_view reason) {
  this->last_seen.reset();
  this->serving = false;
  Log(LogLevel::kWarning, "target", "event=withdrawn reason=" + std::string(reason));
  this->target.WithdrawTarget();
  this->membership.SetTargetState(TargetState::kAbsent);
}

void TargetWatcher::OnSettingsChanged() {
  const auto differs = [](const std::string& configured, const std::string& announced) {
    return !configured.empty() && configured != announced;
  };
  const auto& known = this->latest.target;
  const bool moved = differs(this->settings.target_service, known.service) ||
                     differs(this->settings.target_address, known.address);
  if (!this->last_seen || !moved) return;
  this->Withdraw("moved");
  this->searching = true;
  this->next_search = SteadyTime();
}

void TargetWatcher::Check() {
  if (this->suspension.Check() > Duration::zero()) {
    if (this->last_seen) this->Withdraw("suspended");
    this->searching = true;
    this->probe_open = false;  // An open probe predates the suspension.
    this->next_search = SteadyTime();
    this->search_delay = kFirstSearchDelay;
  }
  if (this->searching && !this->node_stopping) this->SearchForTarget();
  this->UpdatePresumedSlots();
  this->CheckSilence();
}

bool TargetWatcher::Probe(const std::string& service, const std::string& address,
                          const Hooks::ProbeHandler& handler) {
  if (this->probe_open || !this->hooks.probe || service.empty() || address.empty()) return false;
  const auto path = this->hooks.health_path(service);
  if (!path) return false;
  this->probe_open = true;
  this->hooks.probe(address, *path, [this, handler](const ProbeResult& result) {
    this->probe_open = false;
    handler(result);
  });
  return true;
}

void TargetWatcher::SearchForTarget() {
  const SteadyTime now = SteadyClock::now();
  if (now < this->next_search) return;
  const bool probed =
      this->Probe(this->settings.target_service, this->settings.target_address,
                  [this](const ProbeResult& result) { this->OnSearchResult(result); });
  if (!probed) return;
  this->next_search = now + this->search_delay;
  this->search_delay = std::min(2 * this->search_delay, kMaxSearchDelay);
}

void TargetWatcher::OnSearchResult(const ProbeResult& result) {
  if (!this->searching || this->node_stopping) return;
  // A draining target announces itself; a failing one may recover without another probe.
  if (result.outcome == ProbeOutcome::kNotServing) {
    this->searching = false;
    this->doubted_id = result.id;
    this->doubted_seq = 0;
  }
  const bool id_missing = result.id.empty() && !this->settings.wire.expected_target.empty();
  if (result.outcome != ProbeOutcome::kServing || id_missing) return;
  TargetAnnouncement found = this->latest;
  const bool known = found.target.id == result.id &&
                     found.target.address == this->settings.target_address &&
                     found.target.service == this->settings.target_service;
  if (!known) {
    // It started before this node, so it counts as warm.
    found.target = {this->settings.target_service, this->settings.target_address,
                    this->PresumedSlots(), result.id, 0.0};
    found.state = TargetState::kServing;
    found.seq = 0;
  }
  this->AcceptAnnouncement(found);
  this->known_by_probe = !known;
  this->PublishState();
}

std::uint32_t TargetWatcher::PresumedSlots() const {
  if (!this->hooks.slots_elsewhere) return kPresumedSlots;
  std::uint32_t fewest = 0;
  for (const std::uint32_t slots : this->hooks.slots_elsewhere(this->settings.target_service)) {
    // The minimum itself may be what another node presumes rather than an announced number.
    if (slots > kPresumedSlots && (fewest == 0 || slots < fewest)) fewest = slots;
  }
  return std::max(kPresumedSlots, fewest);
}

void TargetWatcher::UpdatePresumedSlots() {
  if (!this->known_by_probe || !this->last_seen) return;
  const std::uint32_t slots = this->PresumedSlots();
  if (slots == this->latest.target.slots) return;
  this->latest.target.slots = slots;
  this->target.SetTarget(this->latest.target);
  this->membership.AnnounceTarget(this->latest.target.service, slots);
}

void TargetWatcher::CheckSilence() {
  if (!this->last_seen) return;
  const SteadyTime last_activity = std::max(*this->last_seen, this->last_answer);
  if (this->probe_open || SteadyClock::now() - last_activity < this->settings.announcement_limit) {
    return;
  }
  // A late announcement alone doesn't mean that the target has ended.
  const auto& known = this->latest.target;
  const bool probed =
      this->serving && this->Probe(known.service, known.address, [this](const ProbeResult& result) {
        if (!this->last_seen) return;
        const bool same_run = result.id.empty() || result.id == this->latest.target.id;
        const bool is_running =
            result.outcome == ProbeOutcome::kServing || result.outcome == ProbeOutcome::kBusy;
        if (is_running && same_run) {
          this->last_seen = SteadyClock::now();
        } else {
          this->Withdraw("silent");
        }
      });
  if (!probed) this->Withdraw("silent");
}

void TargetWatcher::OnFailure() {
  const SteadyTime now = SteadyClock::now();
  const bool answers = now - this->last_answer < kRecentAnswerTime;
  if (!this->last_seen || now < this->next_failure_probe || answers) return;
  const auto& known = this->latest.target;
  const bool probed = this->Probe(known.service, known.address, [this](const ProbeResult& result) {
    if (this->last_seen && result.outcome == ProbeOutcome::kConnectionRefused) {
      this->Withdraw("gone");
    }
  });
  if (probed) this->next_failure_probe = now + kFailureProbePeriod;
}

}  // namespace fireflyrun::node
