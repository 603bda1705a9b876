#include "http/call_server.h"

#include "tests/http/call_server_fixture.h"

namespace fireflyrun::http {
namespace {

constexpr const char* kKeptHead =
    "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nKeep-Alive: timeout=60\r\n";
constexpr const char* kPost = "POST / HTTP/1.1\r\nHost: x\r\n";

TEST_F(CallServerTest, CarriesLargeBodiesWholeBothWays) {
  this->ExpectWholeBodiesBothWays(this->options.limits.max_body_bytes);
}

TEST_F(CallServerTest, ReadsARequestByteByByte) {
  this->answers_at_once = true;
  const std::string text = std::string(kPost) +
                           "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n6\r\n world\r\n"
                           "0\r\nX-Trailer: t\r\n\r\n";
  const auto caller = this->ConnectAndSend("");
  for (const char byte : text + kGet) {
    caller->Write(std::string(1, byte));
    this->loop.restart();
    this->loop.poll();
  }
  ASSERT_TRUE(this->WaitForRequests(2));
  EXPECT_EQ(this->requests[0].body, "hello world");
  EXPECT_EQ(this->requests[1].target, "/a?b=c");
  EXPECT_EQ(FindHeader(this->requests[0].headers, "X-Trailer"), std::nullopt);
}

TEST_F(CallServerTest, HandsOverNoHeaderOfTheConnection) {
  this->ConnectAndSend(
      "POST /a HTTP/1.1\r\nHost: x\r\nConnection: X-Hop, close , Host\r\nX-Hop: 1\r\n"
      "Keep-Alive: 1\r\nProxy-Authorization: a\r\nTE: trailers\r\nUpgrade: h2c\r\n"
      "Content-Length: 2\r\nX-Kept: 1 \t\r\n\r\nok");
  ASSERT_TRUE(this->WaitForRequests(1));
  const Headers& headers = this->requests[0].headers;
  ASSERT_EQ(headers.size(), 2U);
  EXPECT_EQ(headers[0].name, "Host");
  EXPECT_EQ(headers[1].value, "1");
  EXPECT_EQ(this->requests[0].body, "ok");
}

TEST_F(CallServerTest, TakesTheHostOfAnAbsoluteTarget) {
  this->ConnectAndSend("GET http://y:80?q HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(this->WaitForRequests(1));
  EXPECT_EQ(this->requests[0].target, "/?q");
  EXPECT_EQ(FindHeader(this->requests[0].headers, "host"), "y:80");
}

TEST_F(CallServerTest, AnswersPipelinedRequestsInOrder) {
  const auto caller = this->ConnectAndSend(std::string(kGet) + kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  this->RunFor(std::chrono::milliseconds(5));
  ASSERT_EQ(this->requests.size(), 1U);
  this->exchanges[0]->Respond({200, {}, "first"});
  ASSERT_TRUE(this->WaitForRequests(2));
  this->exchanges[1]->Respond({404, {}, "second"});
  ASSERT_TRUE(this->WaitFor(caller, "second"));
  EXPECT_EQ(caller->received, std::string(kKeptHead) + "Content-Length: 5\r\n\r\nfirst" +
                                  "HTTP/1.1 404 Not Found\r\nConnection: keep-alive\r\n"
                                  "Keep-Alive: timeout=60\r\nContent-Length: 6\r\n\r\nsecond");
  EXPECT_EQ(this->requests[1].sequence, 1U);
}

TEST_F(CallServerTest, BoundsWhatIsReadAhead) {
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  caller->socket.non_blocking(true);
  const std::string flood(std::size_t{1} << 20, 'x');
  int rounds_without_progress = 0;
  for (int round = 0; round < 200 && rounds_without_progress < 10; ++round) {
    asio::error_code error;
    std::size_t written = 0;
    while (!error) written += caller->socket.write_some(asio::buffer(flood), error);
    rounds_without_progress = written == 0 ? rounds_without_progress + 1 : 0;
    this->RunFor(std::chrono::milliseconds(1));
  }
  EXPECT_EQ(rounds_without_progress, 10);
}

TEST_F(CallServerTest, AsksForTheBodyThatACallerHoldsBack) {
  const std::string head = std::string(kPost) + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n";
  const auto caller = this->ConnectAndSend(head);
  ASSERT_TRUE(this->WaitFor(caller, "HTTP/1.1 100 Continue\r\n\r\n"));
  EXPECT_TRUE(this->requests.empty());
  caller->Write("hello");
  ASSERT_TRUE(this->WaitForRequests(1));
  EXPECT_EQ(this->requests[0].body, "hello");
  this->exchanges[0]->Respond({200, {}, "whole"});
  ASSERT_TRUE(this->WaitFor(caller, "whole"));
  const auto eager = this->ConnectAndSend(head + "hello");
  ASSERT_TRUE(this->WaitForRequests(2));
  this->exchanges[1]->Respond({200, {}, "whole"});
  ASSERT_TRUE(this->WaitFor(eager, "whole"));
  EXPECT_EQ(eager->received.find("100 Continue"), std::string::npos);
}

TEST_F(CallServerTest, FramesResponsesByStatusAndMethod) {
  struct Framing {
    const char* method;
    Response response;
    const char* end;
  };
  const Framing framings[] = {
      {"GET", {204, {}, "x"}, "timeout=60\r\n\r\n"},
      {"GET", {304, {}, "x"}, "timeout=60\r\n\r\n"},
      {"HEAD", {200, {}, ""}, "timeout=60\r\n\r\n"},
      {"HEAD", {200, {}, "whole"}, "Content-Length: 5\r\n\r\n"},
      {"GET", {200, {}, ""}, "Content-Length: 0\r\n\r\n"},
      {"GET",
       {299, {{"Bad", "a\r\nb"}, {"X-Ok", "1"}}, "w"},
       "HTTP/1.1 299 \r\nX-Ok: 1\r\nConnection: keep-alive\r\nKeep-Alive: timeout=60\r\n"
       "Content-Length: 1\r\n\r\nw"},
      {"GET",
       {200, {{"Connection", "X-Hop"}, {"X-Hop", "1"}, {"Content-Length", "9"}}, "w"},
       "OK\r\nConnection: keep-alive\r\nKeep-Alive: timeout=60\r\nContent-Length: 1\r\n\r\nw"},
  };
  const auto caller = this->ConnectAndSend("");
  for (const Framing& framing : framings) {
    caller->received.clear();
    caller->Write(std::string(framing.method) + " / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(this->WaitForRequests(this->requests.size() + 1));
    this->exchanges.back()->Respond(framing.response);
    EXPECT_TRUE(RunUntil(this->loop, [&] { return caller->received.ends_with(framing.end); }))
        << caller->received;
  }
}

TEST_F(CallServerTest, ClosesWhenEitherSideSaysSo) {
  const std::string close_request = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  for (const std::string& text : {close_request, std::string("GET / HTTP/1.0\r\n\r\n")}) {
    const auto caller = this->ConnectAndSend(text + "ignored");
    ASSERT_TRUE(this->WaitForRequests(this->requests.size() + 1));
    this->exchanges.back()->Respond({200, {}, "whole"});
    ASSERT_TRUE(this->WaitUntilClosed(caller));
    EXPECT_EQ(caller->received,
              "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole");
  }
  const auto told = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(3));
  this->exchanges[2]->Respond({200, {{"connection", "Close"}}, "whole"});
  ASSERT_TRUE(this->WaitUntilClosed(told));
  const auto kept = this->ConnectAndSend("GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n");
  ASSERT_TRUE(this->WaitForRequests(4));
  this->exchanges[3]->Respond({200, {}, "whole"});
  ASSERT_TRUE(this->WaitFor(kept, "whole"));
  EXPECT_TRUE(kept->received.starts_with(kKeptHead));
}

TEST_F(CallServerTest, NoticesACallerThatLeavesAndIgnoresItsResponse) {
  for (const bool half_close : {false, true}) {
    const auto caller = this->ConnectAndSend(kGet);
    ASSERT_TRUE(this->WaitForRequests(this->requests.size() + 1));
    EXPECT_EQ(this->server->OpenExchanges(), 1U);
    bool gone = false;
    this->exchanges.back()->OnCallerGone([&] { gone = true; });
    if (half_close) caller->socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    if (!half_close) caller->Close();
    ASSERT_TRUE(RunUntil(this->loop, [&] { return gone; }));
    EXPECT_EQ(this->server->OpenExchanges(), 0U);
    this->exchanges.back()->Respond({200, {}, "late"});
    bool told_late = false;
    this->exchanges.back()->OnCallerGone([&] { told_late = true; });
    EXPECT_FALSE(told_late);
    EXPECT_TRUE(RunUntil(this->loop, [&] { return told_late; }));
  }
}

TEST_F(CallServerTest, RequestOfACallerThatLeftBeforeItWasReadIsNotHandled) {
  for (const bool half_close : {false, true}) {
    const auto gone = RawConnection::Connect(this->loop, this->server->Port());
    asio::write(gone->socket, asio::buffer(std::string_view(kGet)));
    if (half_close) gone->socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    if (!half_close) gone->Close();
    const auto staying = this->ConnectAndSend(kGet);
    ASSERT_TRUE(RunUntil(this->loop, [&] { return !this->requests.empty(); }));
    this->RunFor(std::chrono::milliseconds(50));
    EXPECT_EQ(this->requests.size(), 1U);
    EXPECT_EQ(this->server->OpenExchanges(), 1U);
    this->exchanges.clear();
    this->requests.clear();
    ASSERT_TRUE(this->WaitFor(staying, "HTTP/1.1 500 "));
  }
  EXPECT_EQ(this->server->Counters().callers_gone_unread, 2U);
}

TEST_F(CallServerTest, RequestTellsHowLongItLayUnread) {
  constexpr std::chrono::milliseconds kStall(300);
  constexpr std::chrono::milliseconds kKernelTick(20);
  const auto late = RawConnection::Connect(this->loop, this->server->Port());
  asio::write(late->socket, asio::buffer(std::string_view(kGet)));
  this->Stall(kStall);
  ASSERT_TRUE(this->WaitForRequests(1));
  EXPECT_GE(this->requests[0].unread_time, kStall - kKernelTick);
  const auto prompt = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(2));
  EXPECT_LT(this->requests[1].unread_time, kStall);
}

TEST_F(CallServerTest, NoticesACallerThatLeavesBehindMoreThanIsReadAhead) {
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  bool gone = false;
  this->exchanges[0]->OnCallerGone([&] { gone = true; });
  asio::write(caller->socket, asio::buffer(std::string(std::size_t{64} << 10, 'x')));
  this->RunFor(std::chrono::milliseconds(50));
  EXPECT_FALSE(gone);
  caller->socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  EXPECT_TRUE(RunUntil(this->loop, [&] { return gone; }));
  EXPECT_EQ(this->server->OpenExchanges(), 0U);
  EXPECT_EQ(this->server->Counters().callers_gone_waiting, 1U);
}

TEST_F(CallServerTest, HookDoesNotRunAfterTheResponse) {
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  bool gone = false;
  this->exchanges[0]->OnCallerGone([&] { gone = true; });
  this->exchanges[0]->Respond({200, {}, "whole"});
  this->exchanges[0]->Respond({500, {}, "second"});
  ASSERT_TRUE(this->WaitFor(caller, "whole"));
  EXPECT_EQ(this->server->OpenExchanges(), 0U);
  caller->Close();
  this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(2));
  EXPECT_FALSE(gone);
  EXPECT_EQ(caller->received, std::string(kKeptHead) + "Content-Length: 5\r\n\r\nwhole");
}

TEST_F(CallServerTest, DroppedExchangeIsAnswered500) {
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  this->exchanges.clear();
  ASSERT_TRUE(this->WaitFor(caller, "HTTP/1.1 500 "));
  EXPECT_NE(caller->received.find("Firefly-Outcome: unknown\r\n"), std::string::npos);
}

TEST_F(CallServerTest, CloseEndsConnectionsAndLateResponsesDoNothing) {
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  bool gone = false;
  this->exchanges[0]->OnCallerGone([&] { gone = true; });
  this->server.reset();
  this->exchanges[0]->Respond({200, {}, "late"});
  ASSERT_TRUE(this->WaitUntilClosed(caller));
  EXPECT_EQ(caller->received, "");
  EXPECT_FALSE(gone);
}

TEST_F(CallServerTest, CloseConnectionClosesThatOneOnly) {
  const auto closed = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  const auto kept = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(2));
  bool gone = false;
  this->exchanges[0]->OnCallerGone([&] { gone = true; });
  this->server->CloseConnection(this->requests[0].connection_id);
  EXPECT_TRUE(RunUntil(this->loop, [&] { return closed->closed && gone; }));
  this->exchanges[1]->Respond({200, {}, "whole"});
  EXPECT_TRUE(this->WaitFor(kept, "whole"));
}

TEST_F(CallServerTest, StopAcceptingServesThoseThatWaitAndAllOpenOnes) {
  this->answers_at_once = true;
  const auto idle = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitFor(idle, "whole"));
  idle->received.clear();
  const auto waiting = this->ConnectAndSend(kGet);
  this->server->StopAccepting();
  EXPECT_THROW(RawConnection::Connect(this->loop, this->server->Port()), asio::system_error);
  ASSERT_TRUE(this->WaitUntilClosed(waiting));
  EXPECT_NE(waiting->received.find("Connection: close\r\n"), std::string::npos);
  EXPECT_FALSE(idle->closed);
  idle->Write(kGet);
  ASSERT_TRUE(this->WaitUntilClosed(idle));
  EXPECT_NE(idle->received.find("Connection: close\r\n"), std::string::npos);
}

TEST_F(CallServerTest, BeginDrainStillAccepts) {
  this->answers_at_once = true;
  this->server->BeginDrain();
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitUntilClosed(caller));
  EXPECT_NE(caller->received.find("Connection: close\r\n"), std::string::npos);
}

TEST_F(CallServerTest, StartsAgainAfterClose) {
  this->answers_at_once = true;
  this->server->Close();
  ASSERT_TRUE(this->server->Start());
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitFor(caller, "whole"));
  EXPECT_TRUE(caller->received.starts_with(kKeptHead));
}

TEST_F(CallServerTest, StartReportsAPortInUse) {
  CallServerOptions taken;
  taken.port = this->server->Port();
  CallServer second(this->loop, taken, [](const Request&, const std::shared_ptr<Exchange>&) {});
  const auto started = second.Start();
  ASSERT_FALSE(started);
  EXPECT_NE(started.error().find(std::to_string(taken.port)), std::string::npos);
  EXPECT_NE(started.error().find("in use"), std::string::npos) << started.error();
}

}  // namespace
}  // namespace fireflyrun::http
