#include "node/target_watcher.h"

#include "common/log.h"
#include "common/timer_service.h"
#include "membership/membership.h"
#include "node/target_service.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kCheckPeriod = std::chrono::milliseconds(500);

}  // namespace

TargetWatcher::TargetWatcher(TimerService& timer_service, membership::Membership& fleet,
                             TargetService& target_service, Duration silence_limit)
    : membership(fleet), target(target_service), limit(silence_limit) {
  this->silence_timer = timer_service.Every(kCheckPeriod, [this] { this->CheckSilence(); });
}

void TargetWatcher::OnAnnouncement(const TargetAnnouncement& announcement) {
  if (this->IsReplaced(announcement)) return;
  const bool first = !this->last_heard;
  this->last_heard = SteadyClock::now();
  this->target.SetTarget(announcement.target);
  const auto& service = announcement.target.service;
  if (first) Log(LogLevel::kInfo, "target", "event=announced service=" + service);
  if (this->node_stopping || announcement.state == membership::TargetState::kLeaving) {
    this->membership.AnnounceTarget(service, announcement.target.slots);
    this->SetLeaving();
    return;
  }
  this->serving = true;
  this->target.SetLeaving(false);
  this->membership.AnnounceTarget(service, announcement.target.slots);
  this->membership.SetTargetState(membership::TargetState::kServing);
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
  if (!this->last_heard || SteadyClock::now() - *this->last_heard < this->limit) return;
  this->last_heard.reset();
  this->serving = false;
  Log(LogLevel::kWarning, "target", "event=silent");
  this->target.WithdrawTarget();
  this->membership.SetTargetState(membership::TargetState::kAbsent);
}

}  // namespace fireflyrun::node
