#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "peer/checksum.h"
#include "peer/frame_codec.h"
#include "tests/peer/raw_link.h"

namespace fireflyrun::peer {
namespace {

using std::chrono::milliseconds;

std::string BodyOf(std::size_t size, std::size_t seed) {
  std::string body(size, '\0');
  for (std::size_t index = 0; index < size; ++index) {
    body[index] = static_cast<char>(index * 31 + seed * 7);
  }
  return body;
}

RC_GTEST_PROP(LinkTest, EveryCallGetsItsOwnAnswer, ()) {
  LinkOptions options = PeerHarness::ShortLimits();
  options.chunk_bytes = 512;
  PeerHarness harness(options);
  std::vector<std::pair<LinkServer::Reply, Answer>> held;
  harness.on_call = [&](Call call, LinkServer::Reply reply) {
    Answer answer;
    answer.body = std::move(call.body);
    held.emplace_back(std::move(reply), std::move(answer));
    // Answers are sent in reverse order, in batches.
    if (held.size() < 3) return;
    for (; !held.empty(); held.pop_back()) held.back().first(std::move(held.back().second));
  };
  const auto sizes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::oneOf(
      rc::gen::inRange<std::size_t>(0, 100), rc::gen::inRange<std::size_t>(0, 200'000)));
  std::vector<std::shared_ptr<SentCall>> calls;
  for (std::size_t index = 0; index < sizes.size(); ++index) {
    calls.push_back(harness.Send(BodyOf(sizes[index], index)));
  }
  RC_ASSERT(harness.RunUntil([&] { return harness.ran.size() == sizes.size(); }));
  for (; !held.empty(); held.pop_back()) held.back().first(std::move(held.back().second));
  RC_ASSERT(harness.RunUntil([&] { return harness.pool->PendingCalls() == 0; }));
  for (std::size_t index = 0; index < sizes.size(); ++index) {
    RC_ASSERT(calls[index]->results == 1);
    RC_ASSERT(calls[index]->Answered(BodyOf(sizes[index], index)));
  }
  RC_ASSERT(harness.RunUntil([&] { return harness.server->RetainedAnswers() == 0; }));
}

TEST(LinkTest, HandlerNeverRunsInsideSend) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  EXPECT_EQ(harness.Send("x")->results, 0);
  const auto too_long = harness.Send(std::string(harness.options.max_body_bytes + 1, 'x'));
  EXPECT_EQ(too_long->results, 0);
  ASSERT_TRUE(harness.RunUntilDone(too_long));
  EXPECT_EQ(too_long->Error(), LinkErrorKind::kNotSent);
}

TEST(LinkTest, CancelReachesTheRemoteNodeAndNothingIsRetained) {
  PeerHarness harness;
  LinkServer::Reply kept;
  harness.on_call = [&](const Call&, LinkServer::Reply reply) { kept = std::move(reply); };
  const auto call = harness.Send("x");
  ASSERT_TRUE(harness.RunUntil([&] { return kept != nullptr; }));
  harness.pool->Cancel(call->id);
  ASSERT_TRUE(harness.RunUntil([&] { return !harness.cancelled.empty(); }));
  EXPECT_EQ(harness.cancelled, std::vector{call->id});
  kept(Answer{});
  EXPECT_EQ(harness.server->RetainedAnswers(), 0U);
  EXPECT_EQ(harness.server->OpenCalls(), 0U);
  EXPECT_EQ(harness.pool->PendingCalls(), 0U);
  EXPECT_EQ(call->results, 0);
}

TEST(LinkTest, ClosedPoolCancelsItsCalls) {
  PeerHarness harness;
  LinkServer::Reply kept;
  harness.on_call = [&](const Call&, LinkServer::Reply reply) { kept = std::move(reply); };
  const auto call = harness.Send("x");
  ASSERT_TRUE(harness.RunUntil([&] { return kept != nullptr; }));
  harness.pool->Close();
  ASSERT_TRUE(harness.RunUntil([&] { return !harness.cancelled.empty(); }));
  EXPECT_EQ(harness.cancelled, std::vector{call->id});
  EXPECT_EQ(harness.server->Counters().calls_orphaned, 0U);
}

TEST(LinkTest, DeadlineEndsTheCallAndItsLateAnswerIsNotRetained) {
  PeerHarness harness;
  LinkServer::Reply kept;
  harness.on_call = [&](const Call&, LinkServer::Reply reply) { kept = std::move(reply); };
  const auto call = harness.Send("x", milliseconds(50));
  ASSERT_TRUE(harness.RunUntilDone(call));
  EXPECT_EQ(call->Error(), LinkErrorKind::kUnknown);
  ASSERT_TRUE(kept);
  harness.on_call = nullptr;
  ASSERT_TRUE(harness.WarmUp());
  kept(Answer{});
  EXPECT_EQ(harness.server->OpenCalls(), 0U);
  EXPECT_TRUE(harness.RunUntil([&] { return harness.server->RetainedAnswers() == 0; }));
  EXPECT_EQ(call->results, 1);
}

TEST(LinkTest, DuplicateLateAndDamagedAnswersAreDropped) {
  PeerHarness harness;
  asio::ip::tcp::acceptor acceptor(harness.loop, {asio::ip::address_v4::loopback(), 0});
  harness.address.port = acceptor.local_endpoint().port();
  std::optional<RawLink> remote;
  acceptor.async_accept([&](const asio::error_code&, asio::ip::tcp::socket socket) {
    remote.emplace(harness, std::move(socket));
  });
  const auto good = harness.Send("");
  const auto damaged = harness.Send("");
  ASSERT_TRUE(harness.RunUntil([&] { return remote.has_value(); }));
  remote->SendHello("b", PeerHarness::kIncarnation, 0);
  ASSERT_TRUE(remote->Await(pb::Frame::kCallHead));
  const auto answer = [&](const Id128& id, std::uint32_t crc32) {
    pb::AnswerHead head;
    head.set_call_id(id.ToBytes());
    head.set_body_length(4);
    head.set_body_crc32(crc32);
    remote->Send(pb::Frame::kAnswerHeadFieldNumber, head);
    std::string chunk;
    AppendChunkFrame(pb::Frame::kAnswerChunkFieldNumber, id, "body", &chunk);
    remote->Write(chunk);
  };
  answer(good->id, Checksum("body"));
  answer(good->id, Checksum("body"));
  answer(damaged->id, Checksum("body") + 1);
  ASSERT_TRUE(harness.RunUntilDone(damaged));
  EXPECT_TRUE(good->Answered("body"));
  EXPECT_EQ(good->results, 1);
  EXPECT_EQ(damaged->Error(), LinkErrorKind::kUnknown);
  EXPECT_EQ(harness.pool->Counters().late_answers_dropped, 1U);
}

/// Guards against heads of answers that add up at the entry while their bodies are on the way.
TEST(LinkTest, HeadsOfAnswersAreHeldByTheMemoryThatTheyTake) {
  constexpr std::size_t kLimit = std::size_t{1} << 20;
  constexpr int kCalls = 40;
  constexpr int kHeaders = 1'000;
  LinkOptions options = PeerHarness::ShortLimits();
  options.held_bytes = std::make_shared<policy::HeldBytes>(kLimit);
  PeerHarness harness(options);
  asio::ip::tcp::acceptor acceptor(harness.loop, {asio::ip::address_v4::loopback(), 0});
  harness.address.port = acceptor.local_endpoint().port();
  std::optional<RawLink> remote;
  acceptor.async_accept([&](const asio::error_code&, asio::ip::tcp::socket socket) {
    remote.emplace(harness, std::move(socket));
  });
  std::vector<std::shared_ptr<SentCall>> calls;
  calls.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) calls.push_back(harness.Send(""));
  ASSERT_TRUE(harness.RunUntil([&] { return remote.has_value(); }));
  remote->SendHello("b", PeerHarness::kIncarnation, 0);
  ASSERT_TRUE(remote->Await(pb::Frame::kCallHead));
  pb::AnswerHead head;
  head.set_outcome(pb::OUTCOME_ANSWERED);
  head.set_status(200);
  head.set_body_length(4);
  for (int i = 0; i < kHeaders; ++i) {
    pb::Header* header = head.add_headers();
    header->set_name("a");
    header->set_value("b");
  }
  for (const auto& call : calls) {
    head.set_call_id(call->id.ToBytes());
    remote->Send(pb::Frame::kAnswerHeadFieldNumber, head);
  }
  const auto given_up = [&] {
    return std::count_if(calls.begin(), calls.end(),
                         [](const auto& call) { return call->results > 0; });
  };
  EXPECT_TRUE(harness.RunUntil([&] { return given_up() > kCalls / 2; }));
  EXPECT_LE(options.held_bytes->Held(policy::MessageKind::kAnswer), kLimit);
}

TEST(LinkTest, ConnectionThatFellSilentIsResetSoThatNothingMoreOfItArrives) {
  PeerHarness harness;
  asio::ip::tcp::acceptor acceptor(harness.loop, {asio::ip::address_v4::loopback(), 0});
  harness.address.port = acceptor.local_endpoint().port();
  std::optional<RawLink> remote;
  acceptor.async_accept([&](const asio::error_code&, asio::ip::tcp::socket socket) {
    remote.emplace(harness, std::move(socket));
    remote->SendHello("b", PeerHarness::kIncarnation, 0);
  });
  const auto call = harness.Send("call");
  ASSERT_TRUE(harness.RunUntil([&] { return harness.pool->Counters().links_replaced == 1; }));
  EXPECT_TRUE(remote->AwaitEnd());
  EXPECT_EQ(remote->EndError(), asio::error::connection_reset);
}

TEST(LinkTest, CalledNodeKnowsHowLongACallWasOnItsWayAndWhenItExpires) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  harness.proxy->SetFaults(standins::FaultProxy::Direction::kToServer,
                           standins::FaultProxy::Scope::kAll, {.delay = milliseconds(100)});
  std::optional<Call> taken;
  harness.on_call = [&](Call call, const LinkServer::Reply&) { taken = std::move(call); };
  const SteadyTime sent_at = SteadyClock::now();
  harness.Send("call", std::chrono::seconds(20));
  ASSERT_TRUE(harness.RunUntil([&] { return taken.has_value(); }));
  EXPECT_GE(taken->transit_time, milliseconds(90));
  EXPECT_LT(taken->transit_time, std::chrono::seconds(5));
  // Both ends run on one clock here.
  EXPECT_LE(taken->deadline, sent_at + std::chrono::seconds(20) + milliseconds(10));
  EXPECT_GT(taken->deadline, sent_at + std::chrono::seconds(15));
}

TEST(LinkTest, MeasuresTheOneWayDelay) {
  PeerHarness harness;
  harness.proxy->SetFaults(standins::FaultProxy::Direction::kToServer,
                           standins::FaultProxy::Scope::kAll, {.delay = milliseconds(30)});
  ASSERT_TRUE(harness.WarmUp());
  EXPECT_EQ(harness.pool->OneWayDelay("nobody"), Duration::zero());
  EXPECT_GE(harness.pool->OneWayDelay("b"), milliseconds(15));
  EXPECT_LT(harness.pool->OneWayDelay("b"), milliseconds(150));
}

TEST(LinkTest, IdleLinkSendsNoHeartbeatsAndIsClosed) {
  LinkOptions options = PeerHarness::ShortLimits();
  options.idle_timeout = milliseconds(200);
  PeerHarness harness(options);
  ASSERT_TRUE(harness.WarmUp());
  EXPECT_EQ(harness.pool->OpenLinks(), 1U);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.server->RetainedAnswers() == 0; }));
  const auto bytes_out = harness.pool->Counters().bytes_out;
  // So that only the caller's idle timeout can close the link, not the remote end.
  harness.proxy->SilenceExisting();
  ASSERT_TRUE(harness.RunUntil([&] { return harness.pool->OpenLinks() == 0; }));
  EXPECT_EQ(harness.pool->Counters().bytes_out, bytes_out);
  EXPECT_TRUE(harness.WarmUp());
}

TEST(LinkTest, AnswersAreAcknowledgedWithoutASeparateWrite) {
  LinkOptions options = PeerHarness::ShortLimits();
  options.heartbeat_period = std::chrono::hours(1);
  PeerHarness harness(options);
  std::vector<LinkServer::Reply> replies;
  harness.on_call = [&](const Call&, LinkServer::Reply reply) {
    replies.push_back(std::move(reply));
  };
  const auto first = harness.Send("first");
  ASSERT_TRUE(harness.RunUntil([&] { return replies.size() == 1; }));
  const auto bytes_out = harness.pool->Counters().bytes_out;
  replies[0](Answer());
  ASSERT_TRUE(harness.RunUntilDone(first));
  EXPECT_EQ(harness.pool->Counters().bytes_out, bytes_out);
  EXPECT_EQ(harness.server->RetainedAnswers(), 1U);
  harness.Send("second");
  const auto with_call = harness.pool->Counters().bytes_out;
  ASSERT_TRUE(harness.RunUntil([&] { return replies.size() == 2; }));
  EXPECT_TRUE(harness.RunUntil([&] { return harness.server->RetainedAnswers() == 0; }));
  EXPECT_EQ(harness.pool->Counters().bytes_out, with_call);
}

TEST(LinkTest, IdleLinkHasNoTicks) {
  PeerHarness harness;
  ASSERT_TRUE(harness.WarmUp());
  ASSERT_TRUE(harness.RunUntil([&] { return harness.server->RetainedAnswers() == 0; }));
  bool over = false;
  const Duration many_ticks = harness.options.heartbeat_period * 20;
  const auto end = harness.timers.After(many_ticks, [&] { over = true; });
  std::size_t turns = 0;
  while (!over) turns += harness.loop.run_one_for(std::chrono::milliseconds(100));
  EXPECT_LT(turns, 6U);  // The timer above and the called node's sweep.
  EXPECT_EQ(harness.pool->OpenLinks(), 1U);
}

TEST(LinkTest, CloseEndsPendingCallsOnce) {
  PeerHarness harness;
  harness.on_call = [](const Call&, const LinkServer::Reply&) {};
  const auto sent = harness.Send("x");
  ASSERT_TRUE(harness.RunUntil([&] { return harness.ran.size() == 1; }));
  harness.pool->Close();
  const auto late = harness.Send("x");
  EXPECT_EQ(sent->results, 0);
  ASSERT_TRUE(harness.RunUntilDone(late));
  EXPECT_EQ(sent->Error(), LinkErrorKind::kUnknown);
  EXPECT_EQ(late->Error(), LinkErrorKind::kNotSent);
}

}  // namespace
}  // namespace fireflyrun::peer
