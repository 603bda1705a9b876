#include "membership/zero_mq_transport.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <vector>

#include "common/clock.h"

namespace fireflyrun::membership {
namespace {

class ZeroMqTransportTest : public testing::Test {
 protected:
  std::unique_ptr<ZeroMqTransport> Make(std::vector<std::string>& inbox) {
    ZeroMqTransportOptions options;
    options.ip = "127.0.0.1";
    options.max_peers = 2;
    options.connect_timeout = std::chrono::milliseconds(300);
    return std::make_unique<ZeroMqTransport>(
        this->timers, options, [&inbox](std::string_view bytes) { inbox.emplace_back(bytes); });
  }

  static std::string AddressOf(const ZeroMqTransport& transport) {
    return "127.0.0.1:" + std::to_string(transport.Port());
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const SteadyTime deadline = SteadyClock::now() + std::chrono::seconds(10);
    while (!condition() && SteadyClock::now() < deadline) {
      this->loop.restart();
      this->loop.run_for(std::chrono::milliseconds(1));
    }
    return condition();
  }

  asio::io_context loop;
  TimerService timers{loop};
};

TEST_F(ZeroMqTransportTest, DeliversMessagesInOrderBothWays) {
  std::vector<std::string> left_inbox;
  std::vector<std::string> right_inbox;
  const auto left = this->Make(left_inbox);
  const auto right = this->Make(right_inbox);
  std::vector<std::string> expected;
  for (int i = 0; i < 8; ++i) {
    expected.push_back(std::to_string(i) + std::string(20'000, 'x'));
    left->Send(AddressOf(*right), expected.back());
  }
  right->Send(AddressOf(*left), "answer");
  ASSERT_TRUE(this->RunUntil([&] { return right_inbox.size() == 8 && left_inbox.size() == 1; }));
  EXPECT_EQ(right_inbox, expected);
  EXPECT_EQ(left->GetCounters().sent, 8U);
  // One at a time, so that each message has to wake the receiver again.
  for (std::size_t i = 0; i < 50; ++i) {
    left->Send(AddressOf(*right), "again");
    ASSERT_TRUE(this->RunUntil([&] { return right_inbox.size() == 9 + i; })) << i;
  }
}

TEST_F(ZeroMqTransportTest, LosesNothingWhileMessagesInFlightFitItsQueues) {
  constexpr std::size_t kMessages = 1000;
  constexpr std::size_t kMaxInFlight = 16;
  std::vector<std::string> unused;
  std::vector<std::string> inbox;
  const auto left = this->Make(unused);
  const auto right = this->Make(inbox);
  std::size_t offered = 0;
  EXPECT_TRUE(this->RunUntil([&] {
    while (offered < kMessages && offered - inbox.size() < kMaxInFlight) {
      left->Send(AddressOf(*right), std::to_string(offered++));
    }
    return inbox.size() == kMessages;
  }));
  EXPECT_EQ(left->GetCounters().sent, kMessages);
  EXPECT_EQ(left->GetCounters().dropped_full, 0U);
  EXPECT_EQ(inbox.back(), std::to_string(kMessages - 1));
}

TEST_F(ZeroMqTransportTest, DropsAndCountsMessagesThatAPeerDoesNotAccept) {
  std::vector<std::string> inbox;
  const auto transport = this->Make(inbox);
  std::string closed_address;
  {
    const auto closed_transport = this->Make(inbox);
    closed_address = AddressOf(*closed_transport);
  }
  for (int i = 0; i < 20; ++i) transport->Send(closed_address, "lost");
  EXPECT_EQ(transport->GetCounters().dropped_full, 4U);
  EXPECT_TRUE(this->RunUntil([&] { return transport->GetCounters().dropped_unconnected == 16; }));
  transport->Send("not an address", "lost");
  transport->Send("example.invalid:80", "lost");
  EXPECT_EQ(transport->GetCounters().dropped_unconnected, 18U);
}

TEST_F(ZeroMqTransportTest, ClosesTheLeastRecentlyUsedSocketBeyondTheLimit) {
  std::vector<std::string> inbox;
  const auto sender = this->Make(inbox);
  std::vector<std::unique_ptr<ZeroMqTransport>> receivers;
  receivers.reserve(4);
  for (int i = 0; i < 4; ++i) receivers.push_back(this->Make(inbox));
  for (std::size_t i = 0; i < receivers.size(); ++i) {
    sender->Send(AddressOf(*receivers[i]), "hello");
    ASSERT_TRUE(this->RunUntil([&] { return inbox.size() == i + 1; }));
  }
  EXPECT_EQ(sender->GetCounters().evicted, 2U);
}

TEST_F(ZeroMqTransportTest, PortInUseIsReportedWithItsAddress) {
  std::vector<std::string> inbox;
  const auto first = this->Make(inbox);
  ZeroMqTransportOptions options;
  options.ip = "127.0.0.1";
  options.port = first->Port();
  try {
    ZeroMqTransport second(this->timers, options, [](std::string_view) {});
    FAIL() << "bound a port in use";
  } catch (const std::runtime_error& error) {
    EXPECT_NE(std::string(error.what()).find(AddressOf(*first)), std::string::npos);
  }
}

}  // namespace
}  // namespace fireflyrun::membership
