#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

#include "tests/peer/peer_harness.h"

namespace fireflyrun::peer {
namespace {

using Direction = standins::FaultProxy::Direction;
using Scope = standins::FaultProxy::Scope;
using std::chrono::milliseconds;
using std::chrono::seconds;

Answer AnswerWith(std::string body) {
  Answer answer;
  answer.head.set_outcome(pb::OUTCOME_ANSWERED);
  answer.body = std::move(body);
  return answer;
}

TEST(LinkFaultsTest, SmallCallsOvertakeALongBodyOnASlowLink) {
  // Counted in bytes, because a delay of the proxy would change a time limit but not the bytes.
  constexpr std::uint64_t kMaxBytesAhead = 130'000;
  LinkOptions options;
  options.cluster = "test";
  PeerHarness harness(options);
  ASSERT_TRUE(harness.WarmUp());
  harness.proxy->SetFaults(Direction::kToServer, Scope::kAll, {.bytes_per_second = 2'000'000});
  const std::string long_body(std::size_t{4} << 20, 'x');
  const auto long_call = harness.Send(long_body);
  for (int round = 0; round < 3; ++round) {
    const auto bytes_before = harness.pool->Counters().bytes_out;
    const auto small = harness.Send("small");
    ASSERT_TRUE(harness.RunUntilDone(small));
    EXPECT_TRUE(small->Answered("small"));
    EXPECT_LT(harness.pool->Counters().bytes_out - bytes_before, kMaxBytesAhead);
    EXPECT_EQ(long_call->results, 0);
  }
  ASSERT_TRUE(harness.RunUntilDone(long_call));
  EXPECT_TRUE(long_call->Answered(long_body));
  EXPECT_EQ(harness.pool->Counters().links_replaced, 0U);
}

TEST(LinkFaultsTest, AnswerIsFetchedWithinTwoSecondsAfterConnectionGoesSilent) {
  LinkOptions options;
  options.cluster = "test";
  PeerHarness harness(options);
  ASSERT_TRUE(harness.WarmUp());
  LinkServer::Reply reply;
  harness.on_call = [&](const Call&, LinkServer::Reply kept) { reply = std::move(kept); };
  const auto call = harness.Send("x");
  ASSERT_TRUE(harness.RunUntil([&] { return reply != nullptr; }));
  harness.proxy->SilenceExisting();
  const SteadyTime start = SteadyClock::now();
  reply(AnswerWith("computed"));
  ASSERT_TRUE(harness.RunUntilDone(call));
  EXPECT_TRUE(call->Answered("computed"));
  EXPECT_LT(SteadyClock::now() - start, seconds(2));
  EXPECT_EQ(harness.ran.size(), 2U);
  EXPECT_EQ(harness.pool->Counters().links_replaced, 1U);
}

TEST(LinkFaultsTest, CallerPauseDoesNotCountAsRemoteSilence) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  LinkServer::Reply reply;
  harness.on_call = [&](const Call&, LinkServer::Reply kept) { reply = std::move(kept); };
  const auto call = harness.Send("x");
  ASSERT_TRUE(harness.RunUntil([&] { return reply != nullptr; }));
  // The event loop does not run here, as in a stopped process.
  const SteadyTime resume = SteadyClock::now() + harness.options.silence_timeout * 2;
  while (SteadyClock::now() < resume) std::this_thread::yield();
  const auto bytes_in = harness.pool->Counters().bytes_in;
  ASSERT_TRUE(harness.RunUntil([&] { return harness.pool->Counters().bytes_in > bytes_in; }));
  EXPECT_EQ(harness.pool->Counters().links_replaced, 0U);
  reply(AnswerWith("y"));
  EXPECT_TRUE(harness.RunUntilDone(call));
}

TEST(LinkFaultsTest, AnswerOfCallInProgressUsesTheNewestConnection) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  LinkServer::Reply reply;
  harness.on_call = [&](const Call&, LinkServer::Reply kept) { reply = std::move(kept); };
  const auto call = harness.Send("x");
  ASSERT_TRUE(harness.RunUntil([&] { return reply != nullptr; }));
  harness.proxy->SilenceExisting();
  ASSERT_TRUE(harness.RunUntil([&] { return harness.server->Counters().links_replaced == 1; }));
  ASSERT_TRUE(harness.RunUntil([&] { return harness.pool->OpenLinks() == 1; }));
  reply(AnswerWith("late"));
  ASSERT_TRUE(harness.RunUntilDone(call));
  EXPECT_TRUE(call->Answered("late"));
}

/// A call that the called node keeps open, and its reply.
struct HeldCall {
  explicit HeldCall(PeerHarness& harness, Duration limit = seconds(20)) {
    harness.on_call = [this](const Call&, LinkServer::Reply kept) {
      this->reply = std::move(kept);
    };
    this->sent = harness.Send("x", limit);
    EXPECT_TRUE(harness.RunUntil([this] { return this->reply != nullptr; }));
  }

  std::shared_ptr<SentCall> sent;
  LinkServer::Reply reply;
};

TEST(LinkFaultsTest, CancelLostWithASilentConnectionIsRepeatedOnTheNext) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  const HeldCall held(harness);
  harness.proxy->SilenceExisting();
  harness.pool->Cancel(held.sent->id);
  ASSERT_TRUE(harness.RunUntil([&] { return !harness.cancelled.empty(); }));
  EXPECT_EQ(harness.cancelled, std::vector{held.sent->id});
  EXPECT_EQ(harness.server->Counters().calls_orphaned, 0U);
  EXPECT_EQ(harness.pool->Counters().cancels_repeated, 1U);
}

TEST(LinkFaultsTest, CancelWhileTheLinkIsOpenedAgainReachesTheRemoteNode) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  const HeldCall held(harness);
  harness.proxy->ResetExisting();
  ASSERT_TRUE(harness.RunUntil([&] { return harness.pool->OpenLinks() == 0; }));
  harness.pool->Cancel(held.sent->id);
  ASSERT_TRUE(harness.RunUntil([&] { return !harness.cancelled.empty(); }));
  EXPECT_EQ(harness.cancelled, std::vector{held.sent->id});
  EXPECT_EQ(harness.server->Counters().calls_orphaned, 0U);
}

TEST(LinkFaultsTest, CancelThatArrivedIsNotRepeated) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  const HeldCall held(harness);
  harness.pool->Cancel(held.sent->id);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.pool->PendingCancels() == 0; }));
  harness.proxy->ResetExisting();
  harness.on_call = nullptr;
  ASSERT_TRUE(harness.RunUntil([&] { return harness.pool->OpenLinks() == 0; }));
  ASSERT_TRUE(harness.WarmUp());
  EXPECT_EQ(harness.pool->Counters().cancels_repeated, 0U);
  EXPECT_EQ(harness.cancelled, std::vector{held.sent->id});
}

TEST(LinkFaultsTest, CancelOfANodeThatIsCutOffIsKeptUntilTheDeadlineOnly) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  const HeldCall held(harness, seconds(2));
  harness.proxy->SetCut(true);
  harness.pool->Cancel(held.sent->id);
  EXPECT_EQ(harness.pool->PendingCancels(), 1U);
  EXPECT_TRUE(harness.RunUntil([&] { return harness.pool->PendingCancels() == 0; }));
}

TEST(LinkFaultsTest, CallsOfACallerWhoseNodeEndedAreCancelled) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  const HeldCall held(harness);
  const SteadyTime ended = SteadyClock::now();
  harness.proxy->ResetExisting();
  harness.proxy->SetCut(true);
  harness.pool.reset();
  ASSERT_TRUE(harness.RunUntil([&] { return !harness.cancelled.empty(); }));
  EXPECT_EQ(harness.cancelled, std::vector{held.sent->id});
  EXPECT_GE(SteadyClock::now() - ended, harness.options.give_up_timeout);
  EXPECT_EQ(harness.server->Counters().calls_orphaned, 1U);
  held.reply(Answer{});
  EXPECT_EQ(harness.server->OpenCalls(), 0U);
}

TEST(LinkFaultsTest, CallsOfACallerThatIsCutOffAreCancelled) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  const HeldCall held(harness);
  for (const auto direction : {Direction::kToServer, Direction::kToClient}) {
    harness.proxy->SetFaults(direction, Scope::kAll, {.hold = true});
  }
  ASSERT_TRUE(harness.RunUntilDone(held.sent));
  EXPECT_EQ(held.sent->Error(), LinkErrorKind::kUnknown);
  ASSERT_TRUE(harness.RunUntil([&] { return !harness.cancelled.empty(); }));
  EXPECT_EQ(harness.cancelled, std::vector{held.sent->id});
}

TEST(LinkFaultsTest, CallsOfACallerThatHearsNothingAreCancelled) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  const HeldCall held(harness);
  harness.proxy->SetFaults(Direction::kToClient, Scope::kAll, {.hold = true});
  ASSERT_TRUE(harness.RunUntilDone(held.sent));
  EXPECT_EQ(held.sent->Error(), LinkErrorKind::kUnknown);
  ASSERT_TRUE(harness.RunUntil([&] { return !harness.cancelled.empty(); }));
  EXPECT_EQ(harness.cancelled, std::vector{held.sent->id});
}

/// Nobody else may run it, so giving it up would only lose its answer.
TEST(LinkFaultsTest, AtMostOnceCallAwaitsASilentNodeUntilItsDeadline) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  LinkServer::Reply reply;
  harness.on_call = [&](const Call&, LinkServer::Reply kept) { reply = std::move(kept); };
  const auto expires = harness.Send("x", 3 * harness.options.give_up_timeout, true);
  ASSERT_TRUE(harness.RunUntil([&] { return reply != nullptr; }));
  const auto answered = harness.Send("y", seconds(20), true);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.ran.size() == 3; }));
  const auto hold = [&](bool on) {
    for (const auto direction : {Direction::kToServer, Direction::kToClient}) {
      harness.proxy->SetFaults(direction, Scope::kAll, {.hold = on});
    }
  };
  hold(true);
  reply(AnswerWith("y"));
  const SteadyTime start = SteadyClock::now();
  ASSERT_TRUE(harness.RunUntilDone(expires));
  EXPECT_EQ(expires->Error(), LinkErrorKind::kUnknown);
  EXPECT_GE(SteadyClock::now() - start, 2 * harness.options.give_up_timeout);
  EXPECT_EQ(answered->results, 0);
  hold(false);
  ASSERT_TRUE(harness.RunUntilDone(answered));
  EXPECT_TRUE(answered->Answered("y"));
  EXPECT_EQ(harness.ran.size(), 3U);
}

/// Nothing listens at its address any more, so no answer can come.
TEST(LinkFaultsTest, AtMostOnceCallIsGivenUpWhenItsNodeHasEnded) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  harness.on_call = [](const Call&, const LinkServer::Reply&) {};
  const auto sent = harness.Send("x", seconds(20), true);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.ran.size() == 2; }));
  const SteadyTime start = SteadyClock::now();
  harness.proxy.reset();
  ASSERT_TRUE(harness.RunUntilDone(sent));
  EXPECT_EQ(sent->Error(), LinkErrorKind::kUnknown);
  EXPECT_LT(SteadyClock::now() - start, seconds(5));
}

TEST(LinkFaultsTest, CallThatWasGivenUpAtItsDeadlineIsCancelled) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  const HeldCall held(harness, milliseconds(50));
  ASSERT_TRUE(harness.RunUntilDone(held.sent));
  ASSERT_TRUE(harness.RunUntil([&] { return !harness.cancelled.empty(); }));
  EXPECT_EQ(harness.cancelled, std::vector{held.sent->id});
}

TEST(LinkFaultsTest, CallThatWasGivenUpIsCancelledWhenItsLinkReturns) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  const HeldCall held(harness);
  const auto hold = [&](bool on) {
    for (const auto direction : {Direction::kToServer, Direction::kToClient}) {
      harness.proxy->SetFaults(direction, Scope::kAll, {.hold = on});
    }
  };
  hold(true);
  ASSERT_TRUE(harness.RunUntilDone(held.sent));
  EXPECT_EQ(held.sent->Error(), LinkErrorKind::kUnknown);
  hold(false);
  ASSERT_TRUE(harness.RunUntil([&] { return !harness.cancelled.empty(); }));
  EXPECT_EQ(harness.server->Counters().calls_orphaned, 0U);
}

TEST(LinkFaultsTest, LossToServerEndsAsNeverArrivedAndLateCopyIsNotRun) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  harness.proxy->SetFaults(Direction::kToServer, Scope::kExisting, {.hold = true});
  const auto call = harness.Send("x");
  ASSERT_TRUE(harness.RunUntilDone(call));
  EXPECT_EQ(call->Error(), LinkErrorKind::kNeverArrived);
  ASSERT_GT(harness.proxy->HeldBytes(Direction::kToServer), 0U);
  harness.proxy->SetFaults(Direction::kToServer, Scope::kExisting, {});
  ASSERT_TRUE(
      harness.RunUntil([&] { return harness.proxy->HeldBytes(Direction::kToServer) == 0; }));
  ASSERT_TRUE(harness.WarmUp());
  EXPECT_EQ(harness.ran.size(), 2U) << "only the two calls of WarmUp() ran";
  EXPECT_EQ(harness.server->Counters().voided_ids, 1U);
}

TEST(LinkFaultsTest, LossToServerOnExistingConnectionsEndsAsNeverArrived) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  harness.proxy->SetFaults(Direction::kToServer, Scope::kExisting, {.drop = true});
  const auto call = harness.Send("x");
  ASSERT_TRUE(harness.RunUntilDone(call));
  EXPECT_EQ(call->Error(), LinkErrorKind::kNeverArrived);
}

TEST(LinkFaultsTest, LossToCallerOnExistingConnectionsStillDeliversTheAnswer) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  harness.proxy->SetFaults(Direction::kToClient, Scope::kExisting, {.drop = true});
  const auto call = harness.Send("x");
  ASSERT_TRUE(harness.RunUntilDone(call));
  EXPECT_TRUE(call->Answered("x"));
  EXPECT_EQ(harness.ran.size(), 2U);
}

TEST(LinkFaultsTest, LossInEitherDirectionOnAllConnectionsEndsSentCallsAsUnknown) {
  for (const auto direction : {Direction::kToServer, Direction::kToClient}) {
    PeerHarness harness;
    ASSERT_TRUE(harness.WarmUp());
    harness.proxy->SetFaults(direction, Scope::kAll, {.drop = true});
    const auto sent = harness.Send("x");
    ASSERT_TRUE(harness.RunUntilDone(sent));
    EXPECT_EQ(sent->Error(), LinkErrorKind::kUnknown);
    const auto unsent = harness.Send("x");
    ASSERT_TRUE(harness.RunUntilDone(unsent));
    EXPECT_EQ(unsent->Error(), LinkErrorKind::kNotSent);
  }
}

TEST(LinkFaultsTest, ResetDuringCallBodyEndsAsNotSentAndCallIsNotRun) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  harness.proxy->SetFaults(Direction::kToServer, Scope::kExisting, {.bytes_per_second = 500'000});
  const auto before = harness.server->Counters().bytes_in;
  const auto call = harness.Send(std::string(std::size_t{8} << 20, 'x'));
  ASSERT_TRUE(
      harness.RunUntil([&] { return harness.server->Counters().bytes_in > before + 50'000; }));
  harness.proxy->ResetExisting();
  ASSERT_TRUE(harness.RunUntilDone(call));
  EXPECT_EQ(call->Error(), LinkErrorKind::kNotSent);
  ASSERT_TRUE(harness.WarmUp());
  EXPECT_EQ(harness.ran.size(), 2U);
}

TEST(LinkFaultsTest, OnlyCallsFullyAcceptedByTheKernelCountAsSent) {
  constexpr std::size_t kBodyBytes = 8192;
  PeerHarness harness;
  harness.proxy->SetFaults(Direction::kToServer, Scope::kAll, {.bytes_per_second = 500'000});
  std::vector<std::shared_ptr<SentCall>> calls(500);
  for (auto& call : calls) call = harness.Send(std::string(kBodyBytes, 'x'));
  ASSERT_TRUE(harness.RunUntil([&] { return harness.server->Counters().bytes_in > 50'000; }));
  harness.proxy->ResetExisting();
  const auto unsent = [&] {
    return std::count_if(calls.begin(), calls.end(),
                         [](const auto& call) { return call->Error() == LinkErrorKind::kNotSent; });
  };
  ASSERT_TRUE(harness.RunUntil([&] { return unsent() > 0; }));
  const std::size_t sent = calls.size() - static_cast<std::size_t>(unsent());
  EXPECT_GT(sent, 0U);
  EXPECT_LE(sent * kBodyBytes, harness.pool->Counters().bytes_out);
}

TEST(LinkFaultsTest, ResetDuringAnswerBodyFetchesTheCompleteAnswer) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  harness.proxy->SetFaults(Direction::kToClient, Scope::kExisting, {.bytes_per_second = 500'000});
  const std::string body(std::size_t{4} << 20, 'y');
  harness.on_call = [&](const Call&, const LinkServer::Reply& reply) { reply(AnswerWith(body)); };
  const auto before = harness.pool->Counters().bytes_in;
  const auto call = harness.Send("x");
  ASSERT_TRUE(
      harness.RunUntil([&] { return harness.pool->Counters().bytes_in > before + 50'000; }));
  harness.proxy->ResetExisting();
  ASSERT_TRUE(harness.RunUntilDone(call));
  EXPECT_TRUE(call->Answered(body));
  EXPECT_EQ(harness.ran.size(), 2U);
}

TEST(LinkFaultsTest, NewIncarnationRunsNoOldCallsAndSentCallsEndAsUnknown) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  harness.on_call = [](const Call&, const LinkServer::Reply&) {};
  const auto sent = harness.Send("x");
  ASSERT_TRUE(harness.RunUntil([&] { return harness.ran.size() == 2; }));
  harness.StopServer();
  harness.StartServer(PeerHarness::kIncarnation + 1);
  harness.proxy->Retarget({asio::ip::address_v4::loopback(), harness.server->Port()});
  ASSERT_TRUE(harness.RunUntilDone(sent));
  EXPECT_EQ(sent->Error(), LinkErrorKind::kUnknown);
  const auto unsent = harness.Send("x");
  ASSERT_TRUE(harness.RunUntilDone(unsent));
  EXPECT_EQ(unsent->Error(), LinkErrorKind::kNotSent);
  EXPECT_EQ(harness.ran.size(), 2U);
  harness.on_call = nullptr;
  ++harness.address.incarnation;
  EXPECT_TRUE(harness.WarmUp());
}

TEST(LinkFaultsTest, DeadNodeEndsSentCallsAsUnknownAndUnsentAsNotSent) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  harness.on_call = [](const Call&, const LinkServer::Reply&) {};
  const auto sent = harness.Send("x");
  ASSERT_TRUE(harness.RunUntil([&] { return harness.ran.size() == 2; }));
  harness.proxy->SetCut(true);
  const SteadyTime start = SteadyClock::now();
  ASSERT_TRUE(harness.RunUntil([&] { return harness.pool->OpenLinks() == 0; }));
  const auto unsent = harness.Send("x");
  ASSERT_TRUE(harness.RunUntilDone(unsent));
  EXPECT_EQ(unsent->Error(), LinkErrorKind::kNotSent);
  ASSERT_TRUE(harness.RunUntilDone(sent));
  EXPECT_EQ(sent->Error(), LinkErrorKind::kUnknown);
  EXPECT_LT(SteadyClock::now() - start, seconds(2));
  harness.proxy->SetCut(false);
  harness.on_call = nullptr;
  ASSERT_TRUE(harness.RunUntil([&] { return harness.WarmUp(); }));
}

}  // namespace
}  // namespace fireflyrun::peer
