#include "membership/fleet_joiner.h"

#include <algorithm>

#include "membership/control_address.h"
#include "membership/member_codec.h"

namespace fireflyrun::membership {

namespace {

constexpr std::size_t kContactsPerTick = 3;
constexpr std::size_t kJoinedTicksPerRequest = 10;  // Ticks between join requests once joined.

}  // namespace

void FleetJoiner::Start() {
  this->started = true;
  this->timer =
      this->context.timers.Every(this->context.options.join_period, [this] { this->Tick(); });
  for (std::size_t i = 0; i < std::min(kContactsPerTick, this->contacts.size()); ++i) {
    this->SendJoinRequest(this->contacts[i]);
  }
}

void FleetJoiner::Add(const std::string& address) {
  if (address == ControlAddressOf(this->context.view.Self())) return;
  if (std::find(this->contacts.begin(), this->contacts.end(), address) != this->contacts.end()) {
    return;
  }
  this->contacts.push_back(address);
  if (this->contacts.size() > kMaxContacts) this->contacts.pop_front();
  if (this->started && !this->joined) this->SendJoinRequest(address);
}

void FleetJoiner::Tick() {
  ++this->ticks;
  if (this->contacts.empty()) return;
  if (this->joined && this->ticks % kJoinedTicksPerRequest != 0) return;
  for (std::size_t i = 0; i < std::min(kContactsPerTick, this->contacts.size()); ++i) {
    const std::string& address = this->contacts[this->next++ % this->contacts.size()];
    if (!this->BelongsToMember(address)) this->SendJoinRequest(address);
  }
}

bool FleetJoiner::BelongsToMember(const std::string& address) const {
  const View& view = this->context.view;
  for (const std::string& zone : view.Zones()) {
    for (const MemberState* state : view.MembersOf(zone)) {
      if (state->IsReachable() && ControlAddressOf(state->member) == address) return this->joined;
    }
  }
  return false;
}

void FleetJoiner::SendJoinRequest(const std::string& address) {
  pb::Part entry;
  *entry.mutable_member() = EncodeMember(this->context.view.Self());
  entry.mutable_member()->set_pushed(true);
  this->context.outbox.Add(address, entry, SendPriority::kUpdate);
  pb::Part join;
  join.mutable_join();
  this->context.outbox.Add(address, join, SendPriority::kUpdate);
}

}  // namespace fireflyrun::membership
