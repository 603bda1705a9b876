#include <sys/resource.h>

#include <algorithm>
#include <asio/read.hpp>

#include "http/call_server.h"
#include "tests/http/call_server_fixture.h"

namespace fireflyrun::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPost = "POST / HTTP/1.1\r\nHost: x\r\n";
constexpr const char* kNotRun = "Firefly-Outcome: not-run\r\n";

class CallServerLimitsTest : public CallServerTest {
 protected:
  CallServerLimits& Limits() { return this->options.limits; }

  /// The whole answer to what is sent, once the server has closed its side.
  std::string AnswerTo(const std::string& text) {
    const auto caller = this->ConnectAndSend(text);
    EXPECT_TRUE(this->WaitUntilClosed(caller)) << text.substr(0, 100);
    return caller->received;
  }
};

bool IsRejection(const std::string& answer, const std::string& status) {
  return answer.starts_with("HTTP/1.1 " + status) && answer.find(kNotRun) != std::string::npos &&
         answer.find("Connection: close\r\n") != std::string::npos;
}

TEST_F(CallServerLimitsTest, RefusesHeadsAndBodiesOverTheLimit) {
  this->Limits().max_body_bytes = 1000;
  this->Restart();
  const std::string head(kGet);
  const std::string filler = "X: " + std::string(2000 - head.size() - 5, 'x') + "\r\n";
  const std::string largest = head.substr(0, head.size() - 2) + filler + "\r\n";
  ASSERT_EQ(largest.size(), 2000U);
  const auto caller = this->ConnectAndSend(largest);
  EXPECT_TRUE(this->WaitForRequests(1));
  const std::string longer = head.substr(0, head.size() - 2) + "x" + filler + "\r\n";
  EXPECT_TRUE(IsRejection(this->AnswerTo(longer), "431"));
  EXPECT_TRUE(IsRejection(this->AnswerTo("GET /" + std::string(2000, 'x')), "431"));
  EXPECT_TRUE(IsRejection(
      this->AnswerTo(std::string(kPost) + "Expect: 100-continue\r\nContent-Length: 1001\r\n\r\n"),
      "413"));
  const std::string chunked = std::string(kPost) + "Transfer-Encoding: chunked\r\n\r\n";
  EXPECT_TRUE(IsRejection(this->AnswerTo(chunked + "3e9\r\n"), "413"));
  const std::string chunk = "1f4\r\n" + std::string(500, 'x') + "\r\n";
  EXPECT_TRUE(IsRejection(this->AnswerTo(chunked + chunk + chunk + "1\r\n"), "413"));
  EXPECT_EQ(this->requests.size(), 1U);
}

/// Guards against bodies that add up while they are read: what has no room is refused as not run.
TEST_F(CallServerLimitsTest, RefusesBodiesWithoutRoomUntilThereIsRoomAgain) {
  constexpr std::size_t kBodyBytes = 400'000;
  constexpr std::size_t kSmallBytes = 2'000;
  this->options.held_bytes = std::make_shared<policy::HeldBytes>(std::size_t{1} << 20);
  this->Limits().max_body_bytes = std::size_t{1} << 20;
  this->Restart();
  const std::string head =
      std::string(kPost) + "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n";
  const auto begun = this->ConnectAndSend(head + "x");
  EXPECT_TRUE(RunUntil(this->loop, [&] {
    return this->options.held_bytes->Held(policy::MessageKind::kRequest) >= kBodyBytes;
  }));
  const std::string refusal = this->AnswerTo(head + "x");
  EXPECT_TRUE(IsRejection(refusal, "503")) << refusal;
  EXPECT_NE(refusal.find("Retry-After: 1\r\n"), std::string::npos);
  const auto small = this->ConnectAndSend(std::string(kPost) + "Content-Length: 1\r\n\r\nx");
  EXPECT_TRUE(this->WaitForRequests(1));
  begun->Write(std::string(kBodyBytes - 1, 'x'));
  EXPECT_TRUE(this->WaitForRequests(2));
  this->exchanges[1]->Respond({200, {}, "ok"});
  // The small request still waits, with its headers.
  EXPECT_TRUE(RunUntil(this->loop, [&] {
    return this->options.held_bytes->Held(policy::MessageKind::kRequest) <= kSmallBytes;
  }));
  const auto later = this->ConnectAndSend(head + std::string(kBodyBytes, 'x'));
  EXPECT_TRUE(this->WaitForRequests(3));
}

/// Guards against heads that are begun on many connections and never end.
TEST_F(CallServerLimitsTest, HeadsThatAreReadAreBoundedTogether) {
  constexpr std::ptrdiff_t kConnections = 100;
  constexpr std::size_t kHeadBytes = 60'000;
  this->options.held_bytes = std::make_shared<policy::HeldBytes>(std::size_t{2} << 20);
  this->Limits().max_header_bytes = 2 * kHeadBytes;
  this->Restart();
  std::vector<std::shared_ptr<RawConnection>> callers;
  for (std::ptrdiff_t i = 0; i < kConnections; ++i) {
    callers.push_back(this->ConnectAndSend("GET /" + std::string(kHeadBytes, 'x')));
  }
  const auto refused = [&] {
    return std::count_if(callers.begin(), callers.end(),
                         [](const auto& caller) { return caller->closed; });
  };
  EXPECT_TRUE(RunUntil(this->loop, [&] { return refused() > kConnections / 2; }));
  EXPECT_LE(this->options.held_bytes->Held(policy::MessageKind::kRequest), std::size_t{2} << 20);
  for (const auto& caller : callers) {
    EXPECT_TRUE(!caller->closed || IsRejection(caller->received, "503")) << caller->received;
    caller->Reset();
  }
  EXPECT_TRUE(RunUntil(this->loop, [&] {
    return this->options.held_bytes->Held(policy::MessageKind::kRequest) == 0;
  }));
  this->ConnectAndSend(kGet);
  EXPECT_TRUE(this->WaitForRequests(1));
}

/// Sends an announced body that is too large, whatever the server answers; gives how that ended.
asio::error_code SendTooLarge(asio::io_context& loop, RawConnection& caller, std::size_t size) {
  const std::string request =
      std::string(kPost) + "Content-Length: 900000000\r\n\r\n" + std::string(size, 'x');
  std::optional<asio::error_code> result;
  asio::async_write(caller.socket, asio::buffer(request),
                    [&](asio::error_code error, auto) { result = error; });
  RunUntil(loop, [&] { return result.has_value() && caller.closed; });
  return result.value_or(asio::error::timed_out);
}

TEST_F(CallServerLimitsTest, ARejectedCallerMaySendOnForALimitedAmount) {
  const auto caller = this->ConnectAndSend("");
  EXPECT_FALSE(SendTooLarge(this->loop, *caller, std::size_t{8} << 20));
  EXPECT_TRUE(IsRejection(caller->received, "413")) << caller->received;
  const auto endless = this->ConnectAndSend("");
  EXPECT_TRUE(SendTooLarge(this->loop, *endless, std::size_t{128} << 20));
  EXPECT_TRUE(IsRejection(endless->received, "413")) << endless->received;
}

TEST_F(CallServerLimitsTest, RejectsNothingInPlaceOfAnEarlierResponse) {
  const auto caller = this->ConnectAndSend(std::string(kGet) + "GET\x01 / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(this->WaitForRequests(1));
  this->RunFor(milliseconds(5));
  EXPECT_EQ(caller->received, "");
  this->exchanges[0]->Respond({200, {}, "whole"});
  ASSERT_TRUE(this->WaitUntilClosed(caller));
  EXPECT_TRUE(caller->received.starts_with("HTTP/1.1 200 OK\r\n"));
  EXPECT_TRUE(IsRejection(caller->received.substr(caller->received.find("whole") + 5), "400"));
}

TEST_F(CallServerLimitsTest, RefusesRequestsThatTakeTooLong) {
  this->Limits().header_timeout = milliseconds(20);
  this->Limits().body_timeout = milliseconds(20);
  this->Restart();
  const auto idle = this->ConnectAndSend("");
  EXPECT_TRUE(IsRejection(this->AnswerTo("GET / HTTP/1.1\r\nHost: x\r\n"), "408"));
  EXPECT_TRUE(
      IsRejection(this->AnswerTo(std::string(kPost) + "Content-Length: 5\r\n\r\nhell"), "408"));
  EXPECT_FALSE(idle->closed);
  EXPECT_TRUE(this->requests.empty());
}

TEST_F(CallServerLimitsTest, TheHeaderTimeoutCountsFromTheFirstByte) {
  this->Limits().header_timeout = milliseconds(400);
  this->Restart();
  const auto caller = this->ConnectAndSend("G");
  const SteadyTime begun = SteadyClock::now();
  while (!caller->closed && SteadyClock::now() < begun + seconds(5)) {
    this->RunFor(milliseconds(50));
    if (caller->received.empty()) caller->Write("E");
  }
  EXPECT_TRUE(IsRejection(caller->received, "408"));
  EXPECT_LT(SteadyClock::now() - begun, seconds(2));
}

TEST_F(CallServerLimitsTest, ClosesIdleConnectionsSilentlyAndNotBeforeTheirTime) {
  this->Limits().idle_timeout = milliseconds(1300);
  this->answers_at_once = true;
  this->Restart();
  const auto fresh = this->ConnectAndSend("");
  const auto used = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitFor(used, "Keep-Alive: timeout=1\r\n"));
  const std::string answer = used->received;
  const SteadyTime answered = SteadyClock::now();
  ASSERT_TRUE(this->WaitUntilClosed(used));
  EXPECT_GE(SteadyClock::now() - answered, milliseconds(1300));
  EXPECT_LE(SteadyClock::now() - answered, milliseconds(2300));
  ASSERT_TRUE(this->WaitUntilClosed(fresh));
  EXPECT_EQ(fresh->received, "");
  EXPECT_EQ(used->received, answer);
}

TEST_F(CallServerLimitsTest, ServesARequestThatArrivesJustBeforeTheIdleClose) {
  this->Limits().idle_timeout = milliseconds(10);
  this->answers_at_once = true;
  this->Restart();
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitFor(caller, "whole"));
  const auto other = this->ConnectAndSend("");
  this->RunFor(milliseconds(5));
  asio::write(other->socket, asio::buffer(std::string(kGet)));
  this->Stall(milliseconds(700));
  // The loop finds the other caller's request and the timer; then the caller's request arrives.
  this->on_request = [&] {
    this->on_request = nullptr;
    asio::write(caller->socket, asio::buffer(std::string(kGet)));
  };
  EXPECT_TRUE(this->WaitForRequests(3));
}

TEST_F(CallServerLimitsTest, TimeInWhichTheServerDidNotRunDoesNotCount) {
  this->Limits().idle_timeout = milliseconds(10);
  this->Limits().header_timeout = milliseconds(10);
  this->answers_at_once = true;
  this->Restart();
  const auto idle = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitFor(idle, "whole"));
  const auto begun = this->ConnectAndSend("GET / HTTP/1.1\r\n");
  this->RunFor(milliseconds(5));
  this->Stall(milliseconds(1600));
  this->RunFor(milliseconds(5));
  begun->Write("Host: x\r\n\r\n");
  idle->Write(kGet);
  EXPECT_TRUE(this->WaitForRequests(3));
}

TEST_F(CallServerLimitsTest, NewLimitsApplyFromTheNextMessageOn) {
  const auto open = this->ConnectAndSend(std::string(kPost) + "Content-Length: 5\r\n\r\n");
  this->RunFor(milliseconds(5));
  CallServerLimits limits = this->options.limits;
  limits.max_body_bytes = 4;
  limits.idle_timeout = seconds(7);
  this->server->SetLimits(limits);
  open->Write("hello");
  ASSERT_TRUE(this->WaitForRequests(1));
  this->exchanges[0]->Respond({200, {}, "whole"});
  ASSERT_TRUE(this->WaitFor(open, "timeout=60\r\n"));
  open->Write(kGet);
  ASSERT_TRUE(this->WaitForRequests(2));
  this->exchanges[1]->Respond({200, {}, "whole"});
  ASSERT_TRUE(this->WaitFor(open, "timeout=7\r\n"));
  open->Write(std::string(kPost) + "Content-Length: 5\r\n\r\n");
  EXPECT_TRUE(this->WaitFor(open, "HTTP/1.1 413 "));
}

/// A caller that does not read unless told to.
class SlowCaller {
 public:
  SlowCaller(asio::io_context& loop, std::uint16_t port) : socket(loop) {
    this->socket.open(asio::ip::tcp::v4());
    this->socket.set_option(asio::socket_base::receive_buffer_size(4096));
    this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(this->socket, asio::buffer(std::string(kGet)));
  }

  asio::ip::tcp::socket socket;
};

constexpr std::size_t kLargeBody = std::size_t{64} << 20;

TEST_F(CallServerLimitsTest, ClosesOnACallerThatDoesNotRead) {
  this->Limits().write_timeout = milliseconds(20);
  this->Restart();
  const SlowCaller caller(this->loop, this->server->Port());
  ASSERT_TRUE(this->WaitForRequests(1));
  this->exchanges[0]->Respond({200, {}, std::string(kLargeBody, 'x')});
  EXPECT_EQ(this->server->OpenExchanges(), 1U);
  EXPECT_TRUE(RunUntil(this->loop, [&] { return this->server->OpenExchanges() == 0; }));
}

TEST_F(CallServerLimitsTest, WaitsForACallerThatReadsSlowly) {
  // Longer than this thread may stand still on a busy machine, and shorter than the caller reads.
  this->Limits().write_timeout = milliseconds(1500);
  this->Restart();
  SlowCaller caller(this->loop, this->server->Port());
  ASSERT_TRUE(this->WaitForRequests(1));
  this->exchanges[0]->Respond({200, {}, std::string(kLargeBody, 'x')});
  std::vector<char> part(std::size_t{4} << 20);
  std::size_t total = 0;
  caller.socket.non_blocking(true);
  asio::error_code error;
  for (int round = 0; round < 16; ++round) {
    this->RunFor(milliseconds(200));
    total += asio::read(caller.socket, asio::buffer(part), error);
  }
  while (total < kLargeBody && (!error || error == asio::error::would_block)) {
    this->RunFor(milliseconds(1));
    total += asio::read(caller.socket, asio::buffer(part), error);
  }
  EXPECT_GT(total, kLargeBody);
}

TEST_F(CallServerLimitsTest, ANewConnectionReplacesTheLongestIdleOne) {
  this->options.max_connections = 2;
  this->answers_at_once = true;
  this->Restart();
  const auto oldest = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitFor(oldest, "whole"));
  const auto newer = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitFor(newer, "whole"));
  oldest->received.clear();
  oldest->Write(kGet);
  ASSERT_TRUE(this->WaitFor(oldest, "whole"));
  const auto third = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitFor(third, "whole"));
  EXPECT_TRUE(this->WaitUntilClosed(newer));
  EXPECT_FALSE(oldest->closed);
}

TEST_F(CallServerLimitsTest, RefusesAConnectionWhenNoneIsIdle) {
  this->options.max_connections = 1;
  this->Restart();
  const auto first = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  const std::string answer = this->AnswerTo(kGet);
  EXPECT_TRUE(IsRejection(answer, "503")) << answer;
  EXPECT_NE(answer.find("Retry-After: 1\r\n"), std::string::npos);
  first->Close();
  this->RunFor(milliseconds(5));
  const auto next = this->ConnectAndSend(kGet);
  EXPECT_TRUE(this->WaitForRequests(2));
}

/// Takes every free descriptor of the process while it lives.
class NoDescriptors {
 public:
  NoDescriptors() {
    getrlimit(RLIMIT_NOFILE, &this->before);
    const int first_free = dup(0);
    close(first_free);
    rlimit none = this->before;
    none.rlim_cur = static_cast<rlim_t>(first_free);
    setrlimit(RLIMIT_NOFILE, &none);
  }
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &this->before); }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

 private:
  rlimit before{};
};

TEST_F(CallServerLimitsTest, GoesOnAcceptingAfterAnError) {
  this->answers_at_once = true;
  std::shared_ptr<RawConnection> caller;
  {
    caller = this->ConnectAndSend(kGet);
    const NoDescriptors none;
    this->RunFor(milliseconds(50));
    EXPECT_TRUE(this->requests.empty());
  }
  EXPECT_TRUE(this->WaitFor(caller, "whole"));
}

}  // namespace
}  // namespace fireflyrun::http
