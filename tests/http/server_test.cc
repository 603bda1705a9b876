#include "http/server.h"

#include "tests/http/server_fixture.h"

namespace fireflyrun::http {
namespace {

constexpr std::size_t kBodyLimit = std::size_t{16} << 20;

class ServerTest : public ServerFixture<Server, ServerOptions> {
 protected:
  ServerTest() {
    this->options.max_body_bytes = kBodyLimit;
    this->Restart();
  }
};

TEST_F(ServerTest, CarriesLargeBodiesWholeBothWays) { this->ExpectWholeBodiesBothWays(kBodyLimit); }

TEST_F(ServerTest, AnswersOversizedBodies413AndMalformedRequests400) {
  const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string too_long = std::to_string(kBodyLimit + 1);
  const auto sized = this->ConnectAndSend(post + "Content-Length: " + too_long + "\r\n\r\n" +
                                          std::string(1 << 20, 'x'));
  const auto chunked = this->ConnectAndSend(post + "Transfer-Encoding: chunked\r\n\r\n1000001\r\n" +
                                            std::string(kBodyLimit + 1, 'x'));
  const auto malformed = this->ConnectAndSend("GET\x01 / HTTP/1.1\r\n\r\n");
  for (const auto& [caller, status] :
       {std::pair(sized, "413"), std::pair(chunked, "413"), std::pair(malformed, "400")}) {
    ASSERT_TRUE(this->WaitFor(caller, "not read")) << status << caller->received;
    EXPECT_TRUE(caller->received.starts_with(std::string("HTTP/1.1 ") + status));
    EXPECT_NE(caller->received.find("Firefly-Outcome: not-run\r\n"), std::string::npos);
    caller->Close();
  }
  EXPECT_TRUE(this->requests.empty());
  EXPECT_EQ(this->server->OpenExchanges(), 0U);
}

TEST_F(ServerTest, RejectsNothingInPlaceOfAnEarlierResponse) {
  const auto caller = this->ConnectAndSend(std::string(kGet) + "GET\x01 / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil(this->loop, [&] { return caller->closed; }));
  EXPECT_EQ(caller->received, "");
  EXPECT_EQ(this->server->OpenExchanges(), 0U);
}

TEST_F(ServerTest, NoticesACallerThatLeavesAndIgnoresItsResponse) {
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  EXPECT_EQ(this->server->OpenExchanges(), 1U);
  bool gone = false;
  this->exchanges[0]->OnCallerGone([&] { gone = true; });
  caller->Close();
  ASSERT_TRUE(RunUntil(this->loop, [&] { return gone; }));
  EXPECT_EQ(this->server->OpenExchanges(), 0U);
  this->exchanges[0]->Respond({200, {}, "late"});
  bool told_late = false;
  this->exchanges[0]->OnCallerGone([&] { told_late = true; });
  EXPECT_FALSE(told_late);
  EXPECT_TRUE(RunUntil(this->loop, [&] { return told_late; }));
}

TEST_F(ServerTest, HookDoesNotRunAfterTheResponse) {
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  bool gone = false;
  this->exchanges[0]->OnCallerGone([&] { gone = true; });
  this->exchanges[0]->Respond({200, {{"Bad", "a\r\nb"}, {"Connection", "x"}}, "whole"});
  this->exchanges[0]->Respond({500, {}, "second"});
  ASSERT_TRUE(this->WaitFor(caller, "whole"));
  EXPECT_EQ(this->server->OpenExchanges(), 0U);
  caller->Close();
  const auto next = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(2));
  EXPECT_FALSE(gone);
  EXPECT_EQ(caller->received,
            "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nwhole");
}

TEST_F(ServerTest, StopAcceptingLetsOpenExchangesEnd) {
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  this->server->StopAccepting();
  EXPECT_THROW(RawConnection::Connect(this->loop, this->server->Port()), asio::system_error);
  EXPECT_EQ(this->server->OpenExchanges(), 1U);
  this->exchanges[0]->Respond({200, {}, "whole"});
  ASSERT_TRUE(this->WaitFor(caller, "whole"));
  EXPECT_NE(caller->received.find("Connection: close\r\n"), std::string::npos);
  EXPECT_TRUE(RunUntil(this->loop, [&] { return caller->closed; }));
}

TEST_F(ServerTest, OpenExchangesCountsAResponseUntilItIsWritten) {
  asio::ip::tcp::socket slow_caller(this->loop);
  slow_caller.connect({asio::ip::make_address("127.0.0.1"), this->server->Port()});
  asio::write(slow_caller, asio::buffer(std::string(kGet)));
  ASSERT_TRUE(this->WaitForRequests(1));
  this->exchanges[0]->Respond({200, {}, std::string(std::size_t{64} << 20, 'x')});
  this->loop.poll();
  EXPECT_EQ(this->server->OpenExchanges(), 1U);
  slow_caller.close();
  EXPECT_TRUE(RunUntil(this->loop, [&] { return this->server->OpenExchanges() == 0; }));
}

TEST_F(ServerTest, DroppedExchangeIsAnswered500) {
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  this->exchanges.clear();
  ASSERT_TRUE(this->WaitFor(caller, "HTTP/1.1 500 "));
  EXPECT_NE(caller->received.find("Firefly-Outcome: unknown\r\n"), std::string::npos);
}

TEST_F(ServerTest, CloseEndsConnectionsAndLateResponsesDoNothing) {
  const auto caller = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  bool gone = false;
  this->exchanges[0]->OnCallerGone([&] { gone = true; });
  this->server.reset();
  this->exchanges[0]->Respond({200, {}, "late"});
  ASSERT_TRUE(RunUntil(this->loop, [&] { return caller->closed; }));
  EXPECT_EQ(caller->received, "");
  EXPECT_FALSE(gone);
}

TEST_F(ServerTest, CloseConnectionClosesThatOneOnly) {
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
  EXPECT_EQ(this->requests[1].sequence, 0U);
  kept->Write(kGet);
  ASSERT_TRUE(this->WaitForRequests(3));
  EXPECT_EQ(this->requests[2].sequence, 1U);
}

TEST_F(ServerTest, FurtherConnectionsWaitForAFreeOne) {
  this->options.max_connections = 1;
  this->Restart();
  const auto first = this->ConnectAndSend(kGet);
  const auto second = this->ConnectAndSend(kGet);
  ASSERT_TRUE(this->WaitForRequests(1));
  this->loop.poll();
  EXPECT_EQ(this->requests.size(), 1U);
  first->Close();
  EXPECT_TRUE(this->WaitForRequests(2));
}

TEST_F(ServerTest, StartReportsAPortInUse) {
  ServerOptions taken;
  taken.port = this->server->Port();
  Server second(this->loop, taken, [](const Request&, const std::shared_ptr<Exchange>&) {});
  const auto started = second.Start();
  ASSERT_FALSE(started);
  EXPECT_NE(started.error().find(std::to_string(taken.port)), std::string::npos);
  EXPECT_NE(started.error().find("in use"), std::string::npos) << started.error();
}

}  // namespace
}  // namespace fireflyrun::http
