#include "peer/frame_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "peer/body_assembly.h"
#include "peer/checksum.h"
#include "peer/frame_codec.h"
#include "peer/frame_reader.h"

namespace fireflyrun::peer {
namespace {

constexpr std::size_t kChunk = 64;

OutgoingMessage CallOf(const Id128& call_id, std::string body) {
  OutgoingMessage message;
  message.call_id = call_id;
  message.call = std::make_unique<Call>();
  message.call->head.set_call_id(call_id.ToBytes());
  message.call->head.set_body_length(body.size());
  message.call->head.set_body_crc32(Checksum(body));
  message.call->body = std::move(body);
  return message;
}

std::vector<pb::Frame> FramesIn(const std::string& bytes) {
  FrameReader reader(kChunk + kFrameSlackBytes);
  std::size_t offset = 0;
  std::vector<pb::Frame> frames;
  while (offset < bytes.size()) {
    const auto space = reader.Prepare();
    const std::size_t size =
        bytes.copy(space.data(), std::min<std::size_t>(7, space.size()), offset);
    offset += size;
    reader.Commit(size);
    while (const auto frame = reader.Next()) {
      frames.emplace_back();
      EXPECT_TRUE(frames.back().ParseFromArray(frame->data(), static_cast<int>(frame->size())));
    }
  }
  return frames;
}

TEST(FrameQueueTest, UrgentFrameOvertakesQueuedCalls) {
  FrameQueue queue(kChunk, [](const Id128&, std::size_t) {});
  for (std::uint64_t id = 1; id <= 3; ++id) queue.Push(CallOf({0, id}, "call"));
  OutgoingMessage urgent;
  pb::Cancel cancel;
  cancel.set_call_id(Id128(0, 9).ToBytes());
  AppendFrame(pb::Frame::kCancelFieldNumber, cancel, &urgent.frame);
  queue.PushFirst(std::move(urgent));
  std::string out;
  queue.Fill(1, &out);
  const auto frames = FramesIn(out);
  ASSERT_EQ(frames.size(), 1U);
  EXPECT_TRUE(frames[0].has_cancel());
}

TEST(FrameQueueTest, SmallCallIsSentBetweenChunksOfLongBodies) {
  std::vector<Id128> encoded;
  FrameQueue queue(kChunk, [&](const Id128& id, std::size_t) { encoded.push_back(id); });
  for (std::uint64_t id = 1; id <= 3; ++id) {
    queue.Push(CallOf({0, id}, std::string(100 * kChunk, 'x')));
  }
  std::string out;
  queue.Fill(10 * kChunk, &out);
  out.clear();
  const Id128 small(0, 9);
  queue.Push(CallOf(small, "small"));
  queue.Fill(4 * kChunk, &out);
  ASSERT_EQ(encoded.size(), 1U);
  EXPECT_EQ(encoded.front(), small);
}

TEST(FrameQueueTest, RemovedMessageProducesNoMoreFrames) {
  FrameQueue queue(kChunk, [](const Id128&, std::size_t) { FAIL(); });
  const Id128 id(0, 1);
  queue.Push(CallOf(id, std::string(10 * kChunk, 'x')));
  std::string out;
  queue.Fill(1, &out);
  EXPECT_EQ(queue.Remove(id), FrameQueue::Removal::kStarted);
  EXPECT_EQ(queue.Remove(id), FrameQueue::Removal::kNotFound);
  EXPECT_TRUE(queue.Empty());
}

RC_GTEST_PROP(FrameQueueTest, EveryBodyIsCompleteAfterInterleaving, ()) {
  const auto sizes =
      *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 10 * kChunk));
  FrameQueue queue(kChunk, [](const Id128&, std::size_t) {});
  std::map<std::string, std::string> expected;
  std::string out;
  for (std::size_t index = 0; index < sizes.size(); ++index) {
    const Id128 id(1, index);
    const std::string body(sizes[index], static_cast<char>('a' + index % 26));
    expected[id.ToBytes()] = body;
    queue.Push(CallOf(id, body));
    queue.Fill(out.size() + *rc::gen::inRange<std::size_t>(0, 2 * kChunk), &out);
  }
  while (!queue.Empty()) queue.Fill(out.size() + 1, &out);
  std::map<std::string, BodyAssembly> assemblies;
  std::size_t whole = 0;
  for (pb::Frame& frame : FramesIn(out)) {
    if (frame.has_call_head()) {
      const auto& head = frame.call_head();
      assemblies[head.call_id()] = BodyAssembly(head.body_length(), head.body_crc32());
      whole += head.body_length() == 0 ? 1 : 0;
      continue;
    }
    const std::string id = frame.call_chunk().call_id();
    RC_ASSERT(frame.call_chunk().data().size() <= kChunk);
    const auto state = assemblies[id].Add(std::move(*frame.mutable_call_chunk()->mutable_data()));
    RC_ASSERT(state != BodyAssembly::State::kDamaged);
    if (state != BodyAssembly::State::kComplete) continue;
    RC_ASSERT(assemblies[id].TakeBody() == expected[id]);
    ++whole;
  }
  RC_ASSERT(whole == sizes.size());
}

}  // namespace
}  // namespace fireflyrun::peer
