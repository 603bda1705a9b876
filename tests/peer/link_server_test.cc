#include "peer/link_server.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "peer/boot_time_codec.h"
#include "peer/checksum.h"
#include "peer/frame_codec.h"
#include "tests/peer/raw_link.h"

namespace fireflyrun::peer {
namespace {

const Id128 kCall(1, 1);
const Id128 kOtherCall(1, 2);

TEST(LinkServerTest, LateCopyOfAVoidedCallNeverReachesTheHook) {
  PeerHarness harness;
  RawLink link(harness, harness.server->Port());
  link.SendHello("c", 1, 1);
  link.SendQuery(kCall);
  const auto report = link.Await(pb::Frame::kStateReport);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->state_report().state(), pb::CALL_STATE_NEVER_ARRIVED);
  link.SendCall(kCall, "", 0);
  link.SendCall(kOtherCall, "", 0);
  ASSERT_TRUE(link.Await(pb::Frame::kAnswerHead));
  EXPECT_EQ(harness.ran, std::vector{kOtherCall});
}

TEST(LinkServerTest, SupersededLinkIsClosedAndItsCallsAreNotRun) {
  PeerHarness harness;
  RawLink old_link(harness, harness.server->Port());
  old_link.SendHello("c", 1, 1);
  ASSERT_TRUE(old_link.Await(pb::Frame::kHello));
  RawLink new_link(harness, harness.server->Port());
  new_link.SendHello("c", 1, 2);
  new_link.SendQuery(kOtherCall);
  ASSERT_TRUE(new_link.Await(pb::Frame::kStateReport));
  old_link.SendCall(kCall, "", 0);
  EXPECT_TRUE(old_link.AwaitEnd());
  EXPECT_TRUE(harness.ran.empty());
}

TEST(LinkServerTest, HelloOfAnOlderLinkIsRefused) {
  PeerHarness harness;
  RawLink old_link(harness, harness.server->Port());
  RawLink new_link(harness, harness.server->Port());
  new_link.SendHello("c", 1, 2);
  new_link.SendQuery(kOtherCall);
  ASSERT_TRUE(new_link.Await(pb::Frame::kStateReport));
  old_link.SendHello("c", 1, 1);
  old_link.SendCall(kCall, "", 0);
  EXPECT_TRUE(old_link.AwaitEnd());
  EXPECT_TRUE(harness.ran.empty());
}

TEST(LinkServerTest, CallAndCancelThatArriveTogetherNeverReachTheHooks) {
  PeerHarness harness;
  RawLink link(harness, harness.server->Port());
  link.SendHello("c", 1, 1);
  ASSERT_TRUE(link.Await(pb::Frame::kHello));
  link.SendCall(kCall, "", 0);
  link.SendCancel(kCall);
  link.SendCall(kOtherCall, "", 0);
  ASSERT_TRUE(link.Await(pb::Frame::kAnswerHead));
  EXPECT_EQ(harness.ran, std::vector{kOtherCall});
  EXPECT_TRUE(harness.cancelled.empty());
  EXPECT_EQ(harness.server->OpenCalls(), 0U);
}

/// The time left of a call when the called node takes it.
std::optional<Duration> TimeLeft(const std::function<void(PeerHarness&, RawLink&)>& send) {
  PeerHarness harness;
  std::optional<Duration> left;
  harness.on_call = [&](const Call& call, const LinkServer::Reply&) {
    left = call.deadline - SteadyClock::now();
  };
  RawLink link(harness, harness.server->Port());
  link.SendHello("c", 1, 1);
  send(harness, link);
  EXPECT_TRUE(harness.RunUntil([&] { return left.has_value(); }));
  return left;
}

TEST(LinkServerTest, TimeOnTheWayCountsTowardsACallsDeadline) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  const auto left_when_expiring = [](Duration from_now) {
    return TimeLeft([from_now](PeerHarness&, RawLink& link) {
      link.SendCall(kCall, "", 0, EncodeBootTime(BootClock::now() + from_now));
    });
  };
  EXPECT_LE(left_when_expiring(-milliseconds(1)), Duration::zero());
  EXPECT_LE(left_when_expiring(seconds(1)), seconds(1));
  EXPECT_GT(left_when_expiring(seconds(1)), Duration::zero());
  // What the caller left of its time is never exceeded: RawLink leaves 10 s.
  EXPECT_LE(left_when_expiring(seconds(60)), seconds(10));
}

TEST(LinkServerTest, CallTellsHowLongItWasOnItsWay) {
  // RawLink leaves the call 10 s; of these, 9.3 s are left by the called node's clock.
  constexpr std::chrono::milliseconds kLeft(9300);
  PeerHarness harness;
  std::optional<Duration> transit_time;
  harness.on_call = [&](const Call& call, const LinkServer::Reply&) {
    transit_time = call.transit_time;
  };
  RawLink link(harness, harness.server->Port());
  link.SendHello("c", 1, 1);
  link.SendCall(kCall, "", 0, EncodeBootTime(BootClock::now() + kLeft));
  ASSERT_TRUE(harness.RunUntil([&] { return transit_time.has_value(); }));
  EXPECT_GE(*transit_time, std::chrono::milliseconds(700));
  EXPECT_LT(*transit_time, std::chrono::seconds(5));
}

TEST(LinkServerTest, TimeInWhichACallsBodyArrivesCountsTowardsItsDeadline) {
  const std::chrono::milliseconds limit(20);
  const auto left = TimeLeft([limit](PeerHarness& harness, RawLink& link) {
    pb::CallHead head;
    head.set_call_id(kCall.ToBytes());
    head.set_deadline_us(static_cast<std::uint32_t>(ToMicroseconds(limit).count()));
    head.set_body_length(4);
    head.set_body_crc32(Checksum("body"));
    link.Send(pb::Frame::kCallHeadFieldNumber, head);
    const auto bytes_in = harness.server->Counters().bytes_in;
    ASSERT_TRUE(harness.RunUntil([&] { return harness.server->Counters().bytes_in > bytes_in; }));
    const SteadyTime late = SteadyClock::now() + limit;
    ASSERT_TRUE(harness.RunUntil([&] { return SteadyClock::now() > late; }));
    std::string chunk;
    AppendChunkFrame(pb::Frame::kCallChunkFieldNumber, kCall, "body", &chunk);
    link.Write(chunk);
  });
  EXPECT_LE(left, Duration::zero());
}

/// A call's frame, as RawLink sends it.
std::string CallFrame(const Id128& call_id) {
  pb::CallHead head;
  head.set_call_id(call_id.ToBytes());
  head.set_deadline_us(10'000'000);
  std::string bytes;
  AppendFrame(pb::Frame::kCallHeadFieldNumber, head, &bytes);
  return bytes;
}

TEST(LinkServerTest, CancelFarBehindItsCallIsSeenBeforeTheCallIsHandedOver) {
  constexpr int kCallsBetween = 1000;
  PeerHarness harness;
  RawLink link(harness, harness.server->Port());
  link.SendHello("c", 1, 1);
  ASSERT_TRUE(link.Await(pb::Frame::kHello));
  std::string bytes = CallFrame(kCall);
  for (std::uint64_t call = 0; call < kCallsBetween; ++call) bytes += CallFrame({2, call});
  pb::Cancel cancel;
  cancel.set_call_id(kCall.ToBytes());
  AppendFrame(pb::Frame::kCancelFieldNumber, cancel, &bytes);
  // At once, as many small writes would not all fit in the kernel's buffer.
  link.Write(bytes);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.ran.size() >= kCallsBetween; }));
  EXPECT_EQ(std::count(harness.ran.begin(), harness.ran.end(), kCall), 0);
  EXPECT_TRUE(harness.cancelled.empty());
}

TEST(LinkServerTest, CallThatEndsWithItsCancelLeavesNoState) {
  PeerHarness harness;
  LinkServer::Reply kept;
  harness.on_call = [&](const Call&, LinkServer::Reply reply) { kept = std::move(reply); };
  harness.on_cancel = [&] { kept(Answer{}); };
  RawLink link(harness, harness.server->Port());
  link.SendHello("c", 1, 1);
  link.SendCall(kCall, "", 0);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.server->OpenCalls() == 1; }));
  link.SendCancel(kCall);
  ASSERT_TRUE(harness.RunUntil([&] { return !harness.cancelled.empty(); }));
  EXPECT_EQ(harness.server->OpenCalls(), 0U);
  EXPECT_EQ(harness.server->RetainedAnswers(), 0U);
  link.SendCall(kCall, "", 0);
  link.SendQuery(kCall);
  ASSERT_TRUE(link.Await(pb::Frame::kStateReport));
  EXPECT_EQ(harness.ran, std::vector{kCall});
}

TEST(LinkServerTest, RestartedCallerEndsTheCallsOfItsEarlierIncarnation) {
  PeerHarness harness;
  harness.on_call = [](const Call&, const LinkServer::Reply&) {};
  RawLink earlier(harness, harness.server->Port());
  earlier.SendHello("c", 1, 1);
  earlier.SendCall(kCall, "", 0);
  ASSERT_TRUE(harness.RunUntil([&] { return harness.server->OpenCalls() == 1; }));
  RawLink other(harness, harness.server->Port());
  other.SendHello("d", 2, 1);
  ASSERT_TRUE(other.Await(pb::Frame::kHello));
  EXPECT_TRUE(harness.cancelled.empty());
  RawLink later(harness, harness.server->Port());
  later.SendHello("c", 2, 1);
  ASSERT_TRUE(later.Await(pb::Frame::kHello));
  EXPECT_EQ(harness.cancelled, std::vector{kCall});
}

TEST(LinkServerTest, DamagedBodyIsRefusedAndNotRun) {
  PeerHarness harness;
  RawLink link(harness, harness.server->Port());
  link.SendHello("c", 1, 1);
  link.SendCall(kCall, "body", Checksum("body") + 1);
  const auto answer = link.Await(pb::Frame::kAnswerHead);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->answer_head().outcome(), pb::OUTCOME_NOT_RUN);
  EXPECT_TRUE(harness.ran.empty());
}

TEST(LinkServerTest, BodyOverTheLimitIsRefusedOnReceiptOfItsHead) {
  PeerHarness harness;
  RawLink link(harness, harness.server->Port());
  link.SendHello("c", 1, 1);
  pb::CallHead head;
  head.set_call_id(kCall.ToBytes());
  head.set_body_length(harness.options.max_body_bytes + 1);
  link.Send(pb::Frame::kCallHeadFieldNumber, head);
  const auto answer = link.Await(pb::Frame::kAnswerHead);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->answer_head().outcome(), pb::OUTCOME_NOT_RUN);
}

TEST(LinkServerTest, ConnectionsWithMalformedFramesOtherClusterOrNoHelloAreClosed) {
  PeerHarness harness;
  for (const std::string& bytes :
       {std::string(64, '\xff'), std::string(64, '\0'), std::string("\x02\0\0\0\xff\xff", 6)}) {
    RawLink link(harness, harness.server->Port());
    link.SendHello("c", 1, 1);
    link.Write(bytes);
    EXPECT_TRUE(link.AwaitEnd());
  }
  RawLink other_cluster(harness, harness.server->Port());
  pb::Hello hello;
  hello.set_cluster("another");
  hello.set_node("c");
  hello.set_link_number(9);
  other_cluster.Send(pb::Frame::kHelloFieldNumber, hello);
  EXPECT_TRUE(other_cluster.AwaitEnd());
  RawLink silent(harness, harness.server->Port());
  EXPECT_TRUE(silent.AwaitEnd());
}

TEST(LinkServerTest, RetainedAnswersAreBoundedAndHeldUntilAcknowledged) {
  LinkOptions options = PeerHarness::ShortLimits();
  options.retained_answer_bytes = 1000;
  PeerHarness harness(options);
  RawLink link(harness, harness.server->Port());
  link.SendHello("c", 1, 1);
  const std::string body(600, 'x');
  for (const Id128& id : {kCall, kOtherCall}) {
    link.SendCall(id, body, Checksum(body));
    ASSERT_TRUE(link.Await(pb::Frame::kAnswerChunk));
  }
  EXPECT_EQ(harness.server->RetainedAnswers(), 1U);
  link.SendQuery(kCall);
  const auto report = link.Await(pb::Frame::kStateReport);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->state_report().state(), pb::CALL_STATE_FORGOTTEN);
  pb::AnswerAck ack;
  ack.set_call_id(kOtherCall.ToBytes());
  link.Send(pb::Frame::kAnswerAckFieldNumber, ack);
  EXPECT_TRUE(harness.RunUntil([&] { return harness.server->RetainedAnswers() == 0; }));
}

/// Guards against whole answers that pile up at the called node while their link doesn't take them.
TEST(LinkServerTest, AnswersThatWaitForTheirLinkAreBoundedTogether) {
  constexpr std::size_t kBytes = 100'000;
  constexpr std::size_t kHeadBytes = 1'000;
  constexpr std::uint64_t kCalls = 8;
  LinkOptions options = PeerHarness::ShortLimits();
  options.held_bytes = std::make_shared<policy::HeldBytes>(3 * (kBytes + kHeadBytes));
  PeerHarness harness(options);
  const std::string body(kBytes, 'x');
  harness.on_call = [&](const Call&, const LinkServer::Reply& reply) {
    Answer answer;
    answer.head.set_outcome(pb::OUTCOME_ANSWERED);
    answer.body = body;
    reply(std::move(answer));
  };
  RawLink link(harness, harness.server->Port());
  link.SendHello("c", 1, 1);
  for (std::uint64_t number = 1; number <= kCalls; ++number) {
    link.SendCall(Id128(9, number), "", Checksum(""));
  }
  int whole = 0;
  int given_up = 0;
  for (std::uint64_t number = 1; number <= kCalls; ++number) {
    const auto answer = link.Await(pb::Frame::kAnswerHead);
    ASSERT_TRUE(answer);
    const auto& head = answer->answer_head();
    whole += head.body_length() == kBytes ? 1 : 0;
    given_up += head.outcome() == pb::OUTCOME_RAN && head.body_length() == 0 ? 1 : 0;
  }
  EXPECT_EQ(whole, 3);
  EXPECT_EQ(given_up, 5);
  EXPECT_FALSE(options.held_bytes->Exceeded(policy::MessageKind::kAnswer));
  for (std::uint64_t number = 1; number <= kCalls; ++number) {
    pb::AnswerAck ack;
    ack.set_call_id(Id128(9, number).ToBytes());
    link.Send(pb::Frame::kAnswerAckFieldNumber, ack);
  }
  EXPECT_TRUE(harness.RunUntil(
      [&] { return options.held_bytes->Held(policy::MessageKind::kAnswer) == 0; }));
}

}  // namespace
}  // namespace fireflyrun::peer
