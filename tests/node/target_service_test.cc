#include "node/target_service.h"

#include <gtest/gtest.h>

#include <unordered_map>

#include "common/timer_service.h"
#include "node/call_context.h"
#include "node/context_table.h"
#include "node/ticket_codec.h"
#include "tests/http/test_support.h"

namespace fireflyrun::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "calendar";

/// The target's side of a node, with a target that doesn't answer.
class TargetServiceTest : public ::testing::Test {
 protected:
  TargetServiceTest() { this->Announce(1); }

  TargetService::Hooks MakeHooks() {
    TargetService::Hooks hooks;
    hooks.on_admitted = [](const InboundCall&, Duration) {};
    hooks.on_refused = [](const InboundCall&, policy::RefusalReason) {};
    hooks.on_answered = [this](const InboundCall&, Duration) {
      if (this->on_answered) this->on_answered();
    };
    return hooks;
  }

  void Announce(std::uint32_t slots) {
    this->service.SetTarget(
        {kService, "127.0.0.1:" + std::to_string(this->target.Port()), slots, {}, 0.0});
  }

  /// A call under `ticket`, or an idempotent one.
  Id128 Call(const std::optional<policy::Ticket>& ticket = std::nullopt,
             Duration limit = seconds(20)) {
    const Id128 id(0, ++this->last_id);
    peer::Call call;
    auto& head = call.head;
    head.set_call_id(id.ToBytes());
    head.set_root_id(id.ToBytes());
    head.set_service(kService);
    head.set_method("GET");
    head.set_target("/");
    head.set_at_most_once(ticket.has_value());
    call.deadline = SteadyClock::now() + limit;
    call.transit_time = this->transit_time;
    call.body_dropped = this->body_dropped;
    if (ticket) *head.mutable_ticket() = ToMessage(*ticket);
    this->service.OnCall(std::move(call), [this, id](const peer::Answer& given) {
      this->answers[id].push_back(given.head.outcome());
    });
    return id;
  }

  policy::Ticket NewTicket() { return this->service.IssueOwnTicket(); }

  bool RunUntilReached(int requests) {
    return http::RunUntil(this->loop, [&] { return this->target.requests == requests; });
  }
  /// True if no further request reaches the target for a while.
  bool NothingReachesTheTarget() {
    const int before = this->target.requests;
    this->loop.restart();
    this->loop.run_for(milliseconds(100));
    return this->target.requests == before;
  }

  std::string answer;  ///< What the target writes after each request.
  std::function<void()> on_answered;
  Duration transit_time{};
  bool body_dropped = false;
  asio::io_context loop;
  TimerService timers{loop};
  std::shared_ptr<http::RawConnection> connection;  ///< Of the latest request.
  http::RawServer target{loop, [this](http::RawConnection& used, int) {
                           this->connection = used.shared_from_this();
                           if (!this->answer.empty()) used.Write(this->answer);
                         }};
  http::TargetClient client{timers, {}};
  ContextTable contexts;
  TargetService service{timers, client, contexts, {"n1", 1, 1024, false, {}}, MakeHooks()};
  std::uint64_t last_id = 0;
  std::unordered_map<Id128, std::vector<peer::pb::Outcome>> answers;
};

const std::vector kNotRunOnce = {peer::pb::OUTCOME_NOT_RUN};

TEST_F(TargetServiceTest, QueuedCallWhoseCallerLeavesIsAnsweredAndNeverRuns) {
  const Id128 running = this->Call();
  ASSERT_TRUE(this->RunUntilReached(1));
  const Id128 queued = this->Call();
  const Id128 queued_once = this->Call(this->NewTicket());
  this->service.OnCancel(queued);
  this->service.OnCancel(queued_once);
  EXPECT_EQ(this->answers[queued], kNotRunOnce);
  EXPECT_EQ(this->answers[queued_once], kNotRunOnce);
  EXPECT_EQ(this->service.CancelledCalls(CancelStage::kQueued), 2U);
  this->service.OnCancel(running);
  EXPECT_TRUE(this->NothingReachesTheTarget());
  EXPECT_EQ(this->service.OpenCalls(), 0U);
}

TEST_F(TargetServiceTest, RunningIdempotentCallWhoseCallerLeavesIsAnsweredAndEnded) {
  const Id128 call = this->Call();
  ASSERT_TRUE(this->RunUntilReached(1));
  this->service.OnCancel(call);
  EXPECT_EQ(this->answers[call], std::vector{peer::pb::OUTCOME_UNKNOWN});
  EXPECT_EQ(this->service.CancelledCalls(CancelStage::kRunning), 1U);
  EXPECT_EQ(this->service.OpenCalls(), 0U);
  EXPECT_EQ(this->service.Admission().InFlight(), 0U);
  EXPECT_EQ(this->contexts.Size(), 0U);
}

TEST_F(TargetServiceTest, QueuedCallThatWasSentTwiceNeverRunsOnceBothCallersHaveLeft) {
  const Id128 running = this->Call();
  ASSERT_TRUE(this->RunUntilReached(1));
  for (const bool first_leaves_first : {true, false}) {
    const policy::Ticket ticket = this->NewTicket();
    const Id128 first = this->Call(ticket);
    const Id128 again = this->Call(ticket);
    this->service.OnCancel(first_leaves_first ? first : again);
    EXPECT_EQ(this->service.OpenCalls(), 2U) << "the other still waits";
    this->service.OnCancel(first_leaves_first ? again : first);
    EXPECT_EQ(this->service.OpenCalls(), 1U);
    EXPECT_EQ(this->answers[first], kNotRunOnce);
    EXPECT_TRUE(this->answers[again].empty());
  }
  this->service.OnCancel(running);
  EXPECT_TRUE(this->NothingReachesTheTarget());
}

TEST_F(TargetServiceTest, CallThatWasSentTwiceRunsForTheCallerThatStays) {
  const Id128 running = this->Call();
  ASSERT_TRUE(this->RunUntilReached(1));
  const policy::Ticket ticket = this->NewTicket();
  const Id128 first = this->Call(ticket);
  this->Call(ticket);
  this->service.OnCancel(first);
  this->service.OnCancel(running);
  EXPECT_TRUE(this->RunUntilReached(2));
}

TEST_F(TargetServiceTest, CallThatRunsOnceIsNotSentIfItsCallerLeavesWhileItWaitsForAConnection) {
  this->Announce(2);
  this->client.SetMaxConnections(1);
  const Id128 running = this->Call();
  ASSERT_TRUE(this->RunUntilReached(1));
  const Id128 unsent = this->Call(this->NewTicket());
  this->service.OnCancel(unsent);
  EXPECT_EQ(this->answers[unsent], kNotRunOnce);
  EXPECT_EQ(this->service.CancelledCalls(CancelStage::kUnsent), 1U);
  this->service.OnCancel(running);
  EXPECT_TRUE(this->NothingReachesTheTarget());
  EXPECT_EQ(this->service.Admission().InFlight(), 0U);
}

TEST_F(TargetServiceTest, BytesThatAreNoAnswerFailTheCall) {
  this->answer = std::string(std::size_t{1} << 20, 'x');
  for (const bool once : {false, true}) {
    const Id128 call = once ? this->Call(this->NewTicket()) : this->Call();
    ASSERT_TRUE(http::RunUntil(this->loop, [&] { return !this->answers[call].empty(); }));
    EXPECT_EQ(this->answers[call], std::vector{peer::pb::OUTCOME_UNKNOWN});
  }
  EXPECT_EQ(this->service.OpenCalls(), 0U);
  EXPECT_EQ(this->client.HeldBytes(), 0U);
}

TEST_F(TargetServiceTest, CallThatArrivesAfterItsDeadlineNeverRuns) {
  for (const bool once : {false, true}) {
    const auto ticket = once ? std::optional(this->NewTicket()) : std::nullopt;
    const Id128 call = this->Call(ticket, -milliseconds(1));
    EXPECT_EQ(this->answers[call], kNotRunOnce);
  }
  EXPECT_TRUE(this->NothingReachesTheTarget());
  EXPECT_EQ(this->service.OpenCalls(), 0U);
}

TEST_F(TargetServiceTest, CallThatWasOnItsWayForTooLongIsRefusedUnrun) {
  this->transit_time = milliseconds(501);
  EXPECT_EQ(this->answers[this->Call()], kNotRunOnce);
  EXPECT_EQ(this->answers[this->Call(this->NewTicket())], kNotRunOnce);
  EXPECT_TRUE(this->NothingReachesTheTarget());
  this->transit_time = milliseconds(400);
  this->Call();
  EXPECT_TRUE(this->RunUntilReached(1));
}

/// Guards against "not run" for a ticket that runs: its second delivery has no room for the body.
TEST_F(TargetServiceTest, CallWithoutRoomForItsBodyIsRefusedUnlessItsTicketRuns) {
  const auto running = this->NewTicket();
  const Id128 first = this->Call(running);
  ASSERT_TRUE(this->RunUntilReached(1));
  this->body_dropped = true;
  const Id128 second = this->Call(running);
  EXPECT_TRUE(this->answers[second].empty());
  EXPECT_EQ(this->answers[this->Call()], kNotRunOnce);
  const auto refused = this->NewTicket();
  EXPECT_EQ(this->answers[this->Call(refused)], kNotRunOnce);
  this->body_dropped = false;
  EXPECT_EQ(this->answers[this->Call(refused)], kNotRunOnce) << "the ticket is void";
  EXPECT_TRUE(this->NothingReachesTheTarget());
  asio::write(this->connection->socket, asio::buffer(std::string_view(http::kWholeResponse)));
  ASSERT_TRUE(http::RunUntil(this->loop, [&] { return !this->answers[second].empty(); }));
  EXPECT_EQ(this->answers[second], std::vector{peer::pb::OUTCOME_ANSWERED});
  EXPECT_EQ(this->answers[first], std::vector{peer::pb::OUTCOME_ANSWERED});
}

TEST_F(TargetServiceTest, QueuedCallWhoseCancelHasArrivedUnreadNeverStarts) {
  this->Call();
  ASSERT_TRUE(this->RunUntilReached(1));
  const Id128 queued = this->Call();
  // The answer frees the slot and leaves its connection idle; the cancel is read next.
  this->on_answered = [&] { asio::post(this->loop, [&] { this->service.OnCancel(queued); }); };
  asio::write(this->connection->socket, asio::buffer(std::string_view(http::kWholeResponse)));
  ASSERT_TRUE(http::RunUntil(this->loop, [&] { return !this->answers[queued].empty(); }));
  EXPECT_EQ(this->answers[queued], kNotRunOnce);
  EXPECT_TRUE(this->NothingReachesTheTarget());
  EXPECT_EQ(this->target.requests, 1);
  EXPECT_EQ(this->service.Admission().InFlight(), 0U);
}

TEST_F(TargetServiceTest, QueuedCallIsNotStartedAtATargetThatHasGoneMeanwhile) {
  const Id128 running = this->Call();
  ASSERT_TRUE(this->RunUntilReached(1));
  const Id128 queued = this->Call();
  this->service.OnCancel(running);
  this->service.WithdrawTarget();
  EXPECT_TRUE(this->NothingReachesTheTarget());
  EXPECT_EQ(this->answers[queued], kNotRunOnce);
}

TEST_F(TargetServiceTest, CallThatRunsOnceAndWasSentRunsOnAfterItsCallerHasLeft) {
  const Id128 call = this->Call(this->NewTicket());
  ASSERT_TRUE(this->RunUntilReached(1));
  this->service.OnCancel(call);
  EXPECT_TRUE(this->answers[call].empty());
  EXPECT_EQ(this->service.CancelledCalls(CancelStage::kKept), 1U);
  EXPECT_EQ(this->service.OpenCalls(), 1U);
}

}  // namespace
}  // namespace fireflyrun::node
