#include "tests/membership/test_fleet.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <iostream>

#include "common/random.h"
#include "membership/control.pb.h"
#include "membership/control_address.h"

namespace fireflyrun::membership {

using std::chrono::milliseconds;

RecordHooks TestNode::Hooks() {
  const auto apply = [this](const auto& message) {
    for (const auto& entry : message.entries()) this->book[entry.revision()] = entry.body();
    return true;
  };
  RecordHooks hooks;
  hooks.local_revision = [this] {
    return records::BookRevision(static_cast<std::int64_t>(this->Revision()), this->rest);
  };
  hooks.apply_change_set = [this, apply](std::string_view bytes) {
    pb::ChangeSet change_set;
    change_set.ParseFromString(std::string(bytes));
    const bool is_whole = change_set.previous_revision() == 0;
    if (is_whole) this->book.clear();
    return (is_whole || change_set.previous_revision() == this->Revision()) && apply(change_set);
  };
  hooks.apply_transfer = [this, apply](std::string_view bytes) {
    pb::Transfer transfer;
    transfer.ParseFromString(std::string(bytes));
    if (transfer.from_revision() > this->Revision()) return false;
    this->rest = transfer.to_rest();
    return apply(transfer);
  };
  hooks.changes_since = [this](const records::BookRevision& since) {
    const auto revision = static_cast<std::uint64_t>(since.number);
    pb::Transfer transfer;
    transfer.set_from_revision(revision);
    transfer.set_to_revision(this->Revision());
    transfer.set_to_rest(this->rest);
    for (auto item = this->book.upper_bound(revision); item != this->book.end(); ++item) {
      pb::RecordEntry& entry = *transfer.add_entries();
      entry.set_revision(item->first);
      entry.set_body(item->second);
    }
    return transfer.SerializeAsString();
  };
  hooks.store_generation = [this] { return this->store_generation; };
  hooks.on_store_generation = [this](std::uint64_t generation) {
    this->store_generation = std::max(this->store_generation, generation);
  };
  return hooks;
}

TestFleet::TestFleet() {
  this->options.flush_period = milliseconds(2);
  this->options.exchange_period = milliseconds(50);
  this->options.join_period = milliseconds(40);
  this->options.ping_period = milliseconds(50);
  this->options.ack_timeout = milliseconds(20);
  this->options.suspicion_time = milliseconds(150);
  this->options.neighbor_period = milliseconds(500);
  // The periods are a twentieth of the defaults, so the byte budget is twenty times the default.
  this->options.bytes_per_second *= 20;
}

TestNode& TestFleet::Start(const std::string& node, const std::string& zone,
                           std::uint64_t incarnation, const std::string& cluster) {
  const auto earlier = this->nodes.find(node);
  const std::uint16_t port =
      earlier == this->nodes.end() ? this->next_port++ : earlier->second->self.control_port;
  this->nodes.erase(node);
  auto started = std::make_unique<TestNode>();
  TestNode& test_node = *started;
  MembershipOptions chosen = this->options;
  chosen.cluster = cluster;
  chosen.self.node = node;
  chosen.self.zone = zone;
  chosen.self.region = "region-of-" + zone;
  chosen.self.incarnation = incarnation;
  chosen.self.ip = "127.0.0.1";
  chosen.self.control_port = port;
  test_node.self = chosen.self;
  test_node.address = ControlAddressOf(chosen.self);
  test_node.membership = std::make_unique<Membership>(
      test_node.timers, chosen,
      [this, from = test_node.address](const std::string& to, const std::string& bytes) {
        this->Deliver(from, to, bytes);
      },
      test_node.Hooks());
  if (this->first_address.empty()) this->first_address = test_node.address;
  test_node.membership->AddContact(this->first_address);
  test_node.membership->Start();
  this->nodes[node] = std::move(started);
  return test_node;
}

void TestFleet::StartZones(const std::vector<std::string>& zones, std::size_t count) {
  for (const std::string& zone : zones) {
    for (std::size_t i = 0; i < count; ++i) this->Start(zone + "-" + std::to_string(i), zone);
  }
}

void TestFleet::Deliver(const std::string& from, const std::string& to, const std::string& bytes) {
  const auto holds = [this](const std::string& address) {
    return std::find_if(this->nodes.begin(), this->nodes.end(),
                        [&](const auto& item) { return item.second->address == address; });
  };
  const auto sender = holds(from);
  const auto receiver = holds(to);
  if (sender == this->nodes.end() || receiver == this->nodes.end()) return;
  if (this->is_cut && this->is_cut(*sender->second, *receiver->second)) return;
  constexpr std::uint64_t kMillion = 1'000'000;
  if (RandomBelow(kMillion) < static_cast<std::uint64_t>(this->loss * kMillion)) return;
  TestNode& target = *receiver->second;
  asio::post(target.loop, [&target, bytes] { target.membership->OnMessage(bytes); });
}

bool TestFleet::PollOnce() {
  bool any = false;
  for (auto& [name, node] : this->nodes) {
    if (node->paused) continue;
    node->loop.restart();
    any |= node->loop.poll() > 0;
  }
  return any;
}

bool TestFleet::RunUntil(const Condition& condition, Duration limit) {
  const SteadyTime deadline = SteadyClock::now() + limit;
  while (SteadyClock::now() < deadline) {
    if (condition()) return true;
    if (this->PollOnce()) continue;
    this->idle.restart();
    asio::steady_timer pause(this->idle, milliseconds(1));
    pause.async_wait([](const asio::error_code&) {});
    this->idle.run();
  }
  return condition();
}

void TestFleet::RunFor(Duration time) {
  this->RunUntil([] { return false; }, time);
}

bool TestFleet::IsConverged() const {
  return this->All([this](const TestNode& node) {
    const View& view = node.membership->GetView();
    if (view.CountPresent() != this->nodes.size()) return false;
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto& item) {
      const MemberState* state = view.Find(item.first);
      return state != nullptr && state->reachability == Reachability::kReachable &&
             state->member.incarnation == item.second->self.incarnation;
    });
  });
}

bool TestFleet::RunUntilConverged() {
  const bool converged = this->RunUntil([this] { return this->IsConverged(); });
  if (!converged) std::cerr << this->DescribeGaps();
  return converged;
}

std::string TestFleet::DescribeGaps() const {
  std::string text;
  for (const auto& [name, node] : this->nodes) {
    std::string gaps;
    for (const auto& [other, started] : this->nodes) {
      const MemberState* state = node->Find(other);
      if (state == nullptr) {
        gaps += " lacks " + other;
      } else if (state->member.incarnation != started->self.incarnation) {
        gaps += " has an earlier run of " + other;
      } else if (!state->IsPresent() || state->reachability != Reachability::kReachable) {
        gaps += " doesn't reach " + other;
      }
    }
    const std::size_t present = node->membership->GetView().CountPresent();
    if (present > this->nodes.size()) gaps += " knows others";
    if (gaps.empty()) continue;
    text.append(name).append(":").append(gaps).append("\n");
  }
  return text;
}

bool TestFleet::All(const std::function<bool(const TestNode&)>& holds) const {
  return std::all_of(this->nodes.begin(), this->nodes.end(),
                     [&holds](const auto& item) { return holds(*item.second); });
}

}  // namespace fireflyrun::membership
