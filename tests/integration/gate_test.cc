#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "common/timer_service.h"
#include "peer/link_pool.h"
#include "policy/ticket.h"
#include "tests/integration/fleet.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr std::uint16_t kPeerPort = 7402;
constexpr seconds kAnswerLimit{5};

/// A node that goes on believing that a target serves: it has a link and no membership.
class BelievingNode {
 public:
  BelievingNode(Fleet& fleet, const std::string& node) {
    // A ticket names the incarnation of the node that it is for.
    const auto issued = fleet.Call(node, "POST", "/tickets/quick");
    const auto text = json::parse(issued.body, nullptr, false).value("ticket", "");
    const auto ticket = policy::Ticket::FromText(text);
    if (ticket) this->called = {node, ticket->incarnation, fleet.Address(node), kPeerPort};
    this->pool = std::make_unique<peer::LinkPool>(this->timers, Options());
  }

  /// Sends a call straight over the link; the outcome that the called node tells of it.
  std::optional<peer::pb::Outcome> Call() {
    peer::Call call;
    call.head.set_call_id(Id128::Random().ToBytes());
    call.head.set_root_id(Id128::Random().ToBytes());
    call.head.set_service("quick");
    call.head.set_method("GET");
    call.head.set_target("/late");
    call.head.set_class_rank(9);
    bool done = false;
    std::optional<peer::pb::Outcome> outcome;
    this->pool->Send(this->called, std::move(call), SteadyClock::now() + kAnswerLimit,
                     [&](tl::expected<peer::Answer, peer::LinkError> answer) {
                       done = true;
                       if (answer) outcome = answer->head.outcome();
                     });
    while (!done && this->loop.run_one_for(2 * kAnswerLimit) > 0) {
    }
    return outcome;
  }

 private:
  static peer::LinkOptions Options() {
    peer::LinkOptions options;
    options.cluster = "test";
    options.node = "believer";
    options.incarnation = 1;
    return options;
  }

  asio::io_context loop;
  TimerService timers{loop};
  peer::PeerAddress called;
  std::unique_ptr<peer::LinkPool> pool;
};

int CountRuns(const Fleet& fleet, const std::string& node) {
  return json::parse(fleet.Runs(node), nullptr, false).value("runs", -1);
}

HttpAnswer Tell(const Fleet& fleet, const std::string& node, const std::string& method,
                const std::string& query, const std::string& body) {
  HttpCall call;
  call.method = method;
  call.url = fleet.AdminUrl(node) + "/target" + query;
  call.body = body;
  return MakeCall(call);
}

/// What a target says of itself, as its own process would.
std::string Word(const Fleet& fleet, const std::string& node, const std::string& state, int seq) {
  const std::string& url = fleet.TargetUrl(node);
  return json({{"service", "quick"},
               {"address", url.substr(url.rfind('/') + 1)},
               {"slots", 20},
               {"state", state},
               {"born", 4'000'000'000'000},
               {"seq", seq}})
      .dump();
}

class GateTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(this->fleet.WaitReady()); }

  Fleet fleet{{{"q1", "east", "east-a", "quick", 20, 2, ""}},
              RecordsWithoutRetries("quick", 20'000)};
};

/// Whatever other nodes believe, the target's own node lets no call through once it has confirmed
/// that the target leaves.
TEST_F(GateTest, CallsSentToALeavingTargetEndAtItsOwnNode) {
  BelievingNode believer(this->fleet, "q1");
  ASSERT_EQ(Tell(this->fleet, "q1", "PUT", "?id=i-1", Word(this->fleet, "q1", "serving", 1)).status,
            200);
  ASSERT_EQ(believer.Call(), peer::pb::OUTCOME_ANSWERED);
  const int runs = CountRuns(this->fleet, "q1");
  ASSERT_EQ(Tell(this->fleet, "q1", "PUT", "?id=i-1", Word(this->fleet, "q1", "leaving", 2)).status,
            200);
  EXPECT_EQ(believer.Call(), peer::pb::OUTCOME_NOT_RUN);
  // Later words of the same run take nothing back.
  Tell(this->fleet, "q1", "PUT", "?id=i-1", Word(this->fleet, "q1", "serving", 3));
  EXPECT_EQ(believer.Call(), peer::pb::OUTCOME_NOT_RUN);
  EXPECT_EQ(CountRuns(this->fleet, "q1"), runs);
}

TEST_F(GateTest, CallsSentAfterADepartureEndAtTheTargetsNode) {
  BelievingNode believer(this->fleet, "q1");
  ASSERT_EQ(Tell(this->fleet, "q1", "PUT", "?id=i-1", Word(this->fleet, "q1", "serving", 1)).status,
            200);
  ASSERT_EQ(Tell(this->fleet, "q1", "DELETE", "?id=i-1", "").status, 200);
  const int runs = CountRuns(this->fleet, "q1");
  EXPECT_EQ(believer.Call(), peer::pb::OUTCOME_NOT_RUN);
  EXPECT_EQ(CountRuns(this->fleet, "q1"), runs);
}

}  // namespace
}  // namespace fireflyrun::integration
