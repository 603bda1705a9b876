#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "membership/membership.h"

namespace fireflyrun::membership {

/// One node of a TestFleet, on an event loop of its own so that it can be paused. Its record book
/// is a map from revision to body.
struct TestNode {
  asio::io_context loop;
  TimerService timers{loop};
  Member self;
  std::string address;
  std::map<std::uint64_t, std::string> book;
  std::string rest;  ///< Of the book's revision.
  std::uint64_t store_generation = 0;
  std::unique_ptr<Membership> membership;
  bool paused = false;

  const MemberState* Find(const std::string& node) const {
    return this->membership->GetView().Find(node);
  }
  Reachability ReachabilityOf(const std::string& node) const {
    return this->Find(node)->reachability;
  }
  std::uint64_t Revision() const { return this->book.empty() ? 0 : this->book.rbegin()->first; }
  RecordHooks Hooks();
};

/// Nodes in one process, connected by an in-memory network that can lose and block messages.
class TestFleet {
 public:
  using Condition = std::function<bool()>;
  using Link = std::function<bool(const TestNode&, const TestNode&)>;

  /// Starts a node whose only contact is the first node started. A name used before restarts that
  /// node at its address.
  TestNode& Start(const std::string& node, const std::string& zone, std::uint64_t incarnation = 1,
                  const std::string& cluster = "test");
  /// Starts `count` nodes ZONE-0, ZONE-1 and so on in each of the zones.
  void StartZones(const std::vector<std::string>& zones, std::size_t count);
  void Kill(const std::string& node) { this->nodes.erase(node); }
  TestNode& operator[](const std::string& node) { return *this->nodes.at(node); }
  std::map<std::string, std::unique_ptr<TestNode>>& Nodes() { return this->nodes; }

  /// Runs all nodes until the condition holds or `limit` of real time has passed; returns whether
  /// the condition held.
  bool RunUntil(const Condition& condition, Duration limit = std::chrono::seconds(15));
  void RunFor(Duration time);
  /// Runs until every node considers all nodes of the fleet reachable and knows no others. Says on
  /// the standard error what is missing when that doesn't come about.
  bool RunUntilConverged();
  /// A line for each node that lacks or doesn't reach others.
  std::string DescribeGaps() const;
  bool IsConverged() const;
  bool All(const std::function<bool(const TestNode&)>& holds) const;

  MembershipOptions options;  ///< For nodes started later; with short periods.
  double loss = 0;            ///< Share of messages lost, from 0 to 1.
  Link is_cut;                ///< True for a sender and receiver whose messages are dropped.

  TestFleet();

 private:
  void Deliver(const std::string& from, const std::string& to, const std::string& bytes);
  bool PollOnce();

  asio::io_context idle;
  std::map<std::string, std::unique_ptr<TestNode>> nodes;
  std::uint16_t next_port = 1;
  std::string first_address;
};

}  // namespace fireflyrun::membership
