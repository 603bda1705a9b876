#include "node/target_watcher.h"

#include "common/log.h"
#include "common/timer_service.h"
#include "membership/membership.h"
#include "node/node_settings.h"
#include "node/target_service.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kCheckPeriod = std::chrono::milliseconds(500);

}  // namespace

TargetWatcher::TargetWatcher(TimerService& timer_service, membership::Membership& fleet,
                             TargetService& target_service, const NodeSettings& node_settings)
    : membership(fleet), target(target_service), settings(node_settings) {
  this->silence_timer = timer_service.Every(kCheckPeriod, [this] { this->CheckSilence(); });
}

void TargetWatcher::OnAnnouncement(const TargetAnnouncement& announcement) {
  if (this->IsReplaced(announcement)) return;
  const bool leaves = announcement.state == membership::TargetState::kLeaving;
  const bool same_run =
      announcement.target.id == this->latest.target.id && announcement.born == this->latest.born;
  // A run never takes back that it leaves, so even a late word of that holds.
  if (same_run && leaves) this->has_departed = !announcement.target.id.empty();
  if (this->IsStale(announcement)) {
    if (same_run && leaves) this->SetLeaving();
    return;
  }
  this->TakeOver(announcement);
  const auto& service = announcement.target.service;
  if (this->node_stopping || this->has_departed || leaves) {
    this->membership.AnnounceTarget(service, announcement.target.slots);
    this->SetLeaving();
    return;
  }
  this->serving = true;
  this->target.SetLeaving(false);
  this->membership.AnnounceTarget(service, announcement.target.slots);
  this->membership.SetTargetState(membership::TargetState::kServing);
}

void TargetWatcher::OnDeparture(const std::string& id) {
  if (id != this->latest.target.id) return;
  this->has_departed = true;
  if (this->last_heard) this->SetLeaving();
}

bool TargetWatcher::IsStale(const TargetAnnouncement& announcement) const {
  if (announcement.born != this->latest.born) return announcement.born < this->latest.born;
  const bool same_id = announcement.target.id == this->latest.target.id;
  return same_id && announcement.seq != 0 && announcement.seq <= this->latest.seq;
}

void TargetWatcher::TakeOver(const TargetAnnouncement& announcement) {
  const bool other_run =
      announcement.target.id != this->latest.target.id || announcement.born != this->latest.born;
  if (other_run || !this->last_heard) {
    Log(LogLevel::kInfo, "target",
        "event=announced service=" + announcement.target.service + " id=" + announcement.target.id +
            " born=" + std::to_string(announcement.born));
  }
  if (other_run) this->has_departed = announcement.state == membership::TargetState::kLeaving;
  this->last_heard = SteadyClock::now();
  this->latest = announcement;
  this->target.SetTarget(announcement.target);
}

bool TargetWatcher::IsReplaced(const TargetAnnouncement& announcement) const {
  const TargetAddress* current = this->target.Target();
  const bool other_serves =
      current != nullptr && this->serving && current->address != announcement.target.address;
  return other_serves && announcement.state == membership::TargetState::kLeaving;
}

void TargetWatcher::SetLeaving() {
  this->serving = false;
  this->target.SetLeaving(true);
  this->membership.SetTargetState(membership::TargetState::kLeaving);
}

void TargetWatcher::LeaveForGood() {
  this->node_stopping = true;
  if (this->last_heard) this->SetLeaving();
}

void TargetWatcher::CheckSilence() {
  if (!this->last_heard ||
      SteadyClock::now() - *this->last_heard < this->settings.announcement_limit)
    return;
  this->last_heard.reset();
  this->serving = false;
  Log(LogLevel::kWarning, "target", "event=silent");
  this->target.WithdrawTarget();
  this->membership.SetTargetState(membership::TargetState::kAbsent);
}

}  // namespace fireflyrun::node
