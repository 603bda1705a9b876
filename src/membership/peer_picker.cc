#include "membership/peer_picker.h"

#include <algorithm>

#include "common/random.h"
#include "membership/control_address.h"
#include "membership/delegates.h"

namespace fireflyrun::membership {

namespace {

/// Reduces `elements` to `count` random ones, in random order.
template <typename Element>
void Sample(std::vector<Element>& elements, std::size_t count) {
  const std::size_t kept = std::min(count, elements.size());
  for (std::size_t i = 0; i < kept; ++i) {
    std::swap(elements[i], elements[i + RandomBelow(elements.size() - i)]);
  }
  elements.resize(kept);
}

}  // namespace

std::vector<std::string> PeerPicker::PickNeighbors(std::size_t count) {
  std::erase_if(this->neighbors, [this](const std::string& node) {
    const MemberState* state = this->view.Find(node);
    return state == nullptr || !state->IsReachable() ||
           state->member.zone != this->view.Self().zone;
  });
  if (this->neighbors.size() < this->options.neighbors) {
    for (const MemberState* state : this->PickInZone(this->options.neighbors)) {
      const std::string& node = state->member.node;
      const bool is_known =
          std::find(this->neighbors.begin(), this->neighbors.end(), node) != this->neighbors.end();
      if (is_known || this->neighbors.size() >= this->options.neighbors) continue;
      this->neighbors.push_back(node);
    }
  }
  std::vector<std::string> chosen = this->neighbors;
  Sample(chosen, count);
  for (std::string& node : chosen) node = ControlAddressOf(this->view.Find(node)->member);
  return chosen;
}

void PeerPicker::Rotate() {
  if (this->neighbors.empty()) return;
  const std::size_t index = RandomBelow(this->neighbors.size());
  this->neighbors.erase(this->neighbors.begin() + static_cast<std::ptrdiff_t>(index));
}

View::StatePointers PeerPicker::PickInZone(std::size_t count, std::string_view except) const {
  View::StatePointers peers;
  for (const MemberState* state : this->view.MembersOf(this->view.Self().zone)) {
    const std::string& node = state->member.node;
    if (!state->IsReachable() || node == this->view.Self().node || node == except) continue;
    peers.push_back(state);
  }
  Sample(peers, count);
  return peers;
}

bool PeerPicker::SelfIsDelegate() const {
  const Member& self = this->view.Self();
  return IsDelegate(this->view, self.node, self.zone, this->options.delegates_per_zone);
}

std::vector<std::string> PeerPicker::OwnZoneDelegates() const {
  const Member& self = this->view.Self();
  std::vector<std::string> addresses;
  const auto ranked = RankDelegates(this->view, self.zone, this->options.delegates_per_zone);
  for (const MemberState* state : ranked) {
    if (state->member.node != self.node) addresses.push_back(ControlAddressOf(state->member));
  }
  return addresses;
}

View::StatePointers PeerPicker::RemoteDelegates() const {
  View::StatePointers delegates;
  for (const std::string& zone : this->view.Zones()) {
    if (zone == this->view.Self().zone || this->view.IsZoneCut(zone)) continue;
    const MemberState* state = this->RemoteDelegate(zone);
    if (state != nullptr) delegates.push_back(state);
  }
  return delegates;
}

const MemberState* PeerPicker::RemoteDelegate(const std::string& zone, std::size_t offset) const {
  const auto ranked = RankDelegates(this->view, zone, this->options.delegates_per_zone);
  if (ranked.empty()) return nullptr;
  return ranked[(this->OwnRank() + offset) % ranked.size()];
}

std::size_t PeerPicker::OwnRank() const {
  const Member& self = this->view.Self();
  const auto ranked = RankDelegates(this->view, self.zone, this->options.delegates_per_zone);
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    if (ranked[i]->member.node == self.node) return i;
  }
  return self.incarnation % 2;
}

}  // namespace fireflyrun::membership
