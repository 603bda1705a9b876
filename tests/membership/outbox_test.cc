#include "membership/outbox.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

namespace fireflyrun::membership {
namespace {

pb::Part PartOfBytes(std::size_t size) {
  pb::Part part;
  part.mutable_transfer_chunk()->set_data(std::string(size, 'x'));
  return part;
}

class OutboxTest : public testing::Test {
 protected:
  OutboxTest() { this->options.self.node = "n"; }

  Outbox Make() {
    return Outbox(
        this->timers, this->options,
        [this](const std::string& to, const std::string& bytes) {
          this->sent.emplace_back(to, bytes);
        },
        this->counters);
  }

  asio::io_context loop;
  TimerService timers{loop};
  MembershipOptions options;
  ControlCounters counters;
  std::vector<std::pair<std::string, std::string>> sent;
};

TEST_F(OutboxTest, SendsOneParsableMessagePerPeer) {
  Outbox outbox = this->Make();
  outbox.Add("a", PartOfBytes(200), SendPriority::kBulk);
  outbox.Add("a", PartOfBytes(1), SendPriority::kUrgent);
  outbox.AddToAll({"a", "b"}, PartOfBytes(20'000), SendPriority::kUpdate);
  outbox.Flush();
  ASSERT_EQ(this->sent.size(), 2U);
  pb::Envelope envelope;
  ASSERT_TRUE(envelope.ParseFromString(this->sent[0].second));
  EXPECT_EQ(envelope.node(), "n");
  ASSERT_EQ(envelope.parts_size(), 3);
  EXPECT_EQ(envelope.parts(0).transfer_chunk().data().size(), 1U);
  EXPECT_EQ(envelope.parts(1).transfer_chunk().data().size(), 20'000U);
  EXPECT_EQ(envelope.parts(2).transfer_chunk().data().size(), 200U);
}

TEST_F(OutboxTest, SplitsMessagesAtTheSizeLimit) {
  Outbox outbox = this->Make();
  for (int i = 0; i < 8; ++i) outbox.Add("a", PartOfBytes(10'000), SendPriority::kUpdate);
  outbox.Flush();
  EXPECT_EQ(this->sent.size(), 3U);
  for (const auto& [to, bytes] : this->sent) EXPECT_LT(bytes.size(), 33U * 1024);
}

TEST_F(OutboxTest, DelaysBulkBeforeUpdatesAndNeverUrgentParts) {
  this->options.bytes_per_second = 1;
  Outbox outbox = this->Make();
  for (int i = 0; i < 20; ++i) outbox.Add("bulk", PartOfBytes(10'000), SendPriority::kBulk);
  outbox.Flush();
  const std::size_t bulk_bytes = this->counters.bytes_sent;
  EXPECT_GT(bulk_bytes, 60'000U);
  EXPECT_LT(bulk_bytes, 85'000U);
  for (int i = 0; i < 20; ++i) outbox.Add("update", PartOfBytes(10'000), SendPriority::kUpdate);
  outbox.Flush();
  EXPECT_GT(this->counters.bytes_sent, bulk_bytes + 10'000);
  EXPECT_LT(this->counters.bytes_sent, this->options.burst_bytes + 11'000);
  const std::size_t all_bytes = this->counters.bytes_sent;
  outbox.Add("a", PartOfBytes(10), SendPriority::kUrgent);
  outbox.Flush();
  EXPECT_EQ(this->sent.back().first, "a");
  EXPECT_LT(this->counters.bytes_sent, all_bytes + 200);
}

TEST_F(OutboxTest, DropsAndCountsUpdatesBeyondTheQueueLimit) {
  this->options.max_queued_bytes = 25'000;
  Outbox outbox = this->Make();
  for (int i = 0; i < 5; ++i) outbox.Add("a", PartOfBytes(10'000), SendPriority::kUpdate);
  EXPECT_EQ(this->counters.dropped_queue_full, 3U);
  EXPECT_LE(outbox.QueuedBytes(), 25'000U);
}

}  // namespace
}  // namespace fireflyrun::membership
