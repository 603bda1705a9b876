#include <gtest/gtest.h>

#include "http/request_head.h"
#include "tests/http/target_test_support.h"

namespace fireflyrun::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Writes `piece` again and again until the far end closes.
void WriteWithoutEnd(const std::shared_ptr<RawConnection>& connection,
                     const std::shared_ptr<const std::string>& piece, Duration pause) {
  asio::async_write(connection->socket, asio::buffer(*piece), [=](auto error, auto) {
    if (error) return;
    if (pause == Duration::zero()) return WriteWithoutEnd(connection, piece, pause);
    auto timer = std::make_shared<asio::steady_timer>(connection->socket.get_executor(), pause);
    timer->async_wait([=](auto) {
      static_cast<void>(timer);
      WriteWithoutEnd(connection, piece, pause);
    });
  });
}

/// A script that writes `begin`, and then `piece` for ever.
RawServer::Script Endless(const std::string& begin, const std::string& piece,
                          Duration pause = Duration::zero()) {
  return [=](RawConnection& connection, int) {
    asio::write(connection.socket, asio::buffer(begin));
    WriteWithoutEnd(connection.shared_from_this(), std::make_shared<const std::string>(piece),
                    pause);
  };
}

/// `text` as often as fills a large write, as small ones would wait for each other.
std::string Repeated(const std::string& text) {
  std::string repeated;
  while (repeated.size() < std::size_t{16} << 10) repeated += text;
  return repeated;
}

struct EndlessCase {
  const char* name;
  std::string begin;
  std::string piece;
};

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kFiller(4000, 'x');
const std::string kChunkedHead = kOk + "Transfer-Encoding: chunked\r\n\r\n";
const std::vector<EndlessCase> kCases = {
    {"no answer", "", kFiller},
    {"empty lines", "", "\r\n\r\n\r\n"},
    {"reason", "HTTP/1.1 200 ", kFiller},
    {"header name", kOk, kFiller},
    {"header value", kOk + "X: ", kFiller},
    {"headers", kOk, "X-Header: value\r\n"},
    {"short headers", kOk, "a: b\r\n"},
    {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"interim answers with headers", "", "HTTP/1.1 103 Early\r\nLink: " + kFiller + "\r\n\r\n"},
    {"body without a length", kOk + "\r\n", kFiller},
    {"body of a great length", kOk + "Content-Length: 900000000\r\n\r\n", kFiller},
    {"chunks", kChunkedHead, "fa0\r\n" + kFiller + "\r\n"},
    {"small chunks", kChunkedHead, "1\r\nx\r\n"},
    {"chunk size", kChunkedHead, "0000000000"},
    {"chunk extension", kChunkedHead + "1;", kFiller},
    {"chunk trailer", kChunkedHead + "0\r\n", "X-Trailer: value\r\n"},
    {"answers to other requests", "", kOk + "X-Id: other\r\nContent-Length: 1\r\n\r\nx"},
    {"an answer to another request", kOk + "X-Id: other\r\n\r\n", kFiller},
};

TargetRequest IdentifiedRequest(const TargetFixture& fixture) {
  TargetRequest request = fixture.Request();
  request.headers = {{"X-Id", "own"}};
  request.max_response_bytes = std::size_t{1} << 20;
  return request;
}

TEST(EndlessAnswerTest, EndsInAFailureLongBeforeTheDeadline) {
  for (const EndlessCase& endless : kCases) {
    SCOPED_TRACE(endless.name);
    TargetFixture fixture(Endless(endless.begin, Repeated(endless.piece)));
    TargetRequest request = IdentifiedRequest(fixture);
    if (std::string(endless.name).find("other") != std::string::npos) {
      request.echo_header = request.headers[0];
    }
    const Result result = fixture.Fetch(request);
    ASSERT_FALSE(result);
    const auto kind = result.error().kind;
    EXPECT_TRUE(kind == ClientErrorKind::kBadAnswer || kind == ClientErrorKind::kTooLarge)
        << kClientErrorKindNames.NameOf(kind) << ": " << result.error().message;
    EXPECT_FALSE(result.error().message.empty());
    EXPECT_LT(SteadyClock::now(), request.deadline - seconds(5));
    EXPECT_TRUE(fixture.RunUntilClosed(0));
  }
}

TEST(EndlessAnswerTest, ThatTricklesEndsWithTheDeadline) {
  for (const EndlessCase& endless : kCases) {
    SCOPED_TRACE(endless.name);
    TargetFixture fixture(Endless(endless.begin, endless.piece.substr(0, 1), milliseconds(10)));
    TargetRequest request = IdentifiedRequest(fixture);
    request.deadline = SteadyClock::now() + milliseconds(100);
    const Result result = fixture.Fetch(request);
    ASSERT_FALSE(result);
    EXPECT_LT(SteadyClock::now(), request.deadline + seconds(2));
    EXPECT_TRUE(fixture.RunUntilClosed(0));
  }
}

/// Guards against heads that are bounded each, but not together.
TEST(EndlessAnswerTest, ManyHeadsAtOnceAreBoundedTogether) {
  constexpr int kRequests = 130;
  constexpr std::size_t kLimit = std::size_t{2} << 20;
  ASSERT_TRUE(ParseRequestHead("GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
  TargetClientOptions options;
  options.held_bytes = std::make_shared<policy::HeldBytes>(kLimit);
  // Headers that a reader may take, of which it awaits the end.
  TargetFixture fixture(Always(kOk + Repeated("a: b\r\n").substr(0, 5'998)), options);
  int failed = 0;
  for (int i = 0; i < kRequests; ++i) {
    fixture.client->Send(fixture.Request(),
                         [&](const Result& result) { failed += !result ? 1 : 0; });
  }
  std::size_t most_held = 0;
  EXPECT_TRUE(RunUntil(fixture.loop, [&] {
    most_held = std::max(most_held, fixture.client->HeldBytes());
    return fixture.server.requests == kRequests && failed > 0;
  }));
  EXPECT_GT(most_held, kLimit / 2) << "the headers are counted";
  EXPECT_LE(most_held, 2 * kLimit);
}

TEST(EndlessAnswerTest, ManyAtOnceAreBoundedTogetherAndLeaveOthersAlone) {
  constexpr int kRequests = 20;
  TargetClientOptions options;
  constexpr std::size_t kLimit = std::size_t{2} << 20;
  options.held_bytes = std::make_shared<policy::HeldBytes>(kLimit);
  TargetFixture fixture(Endless(kOk + "\r\n", kFiller), options);
  RawServer sound(fixture.loop, Always(kWholeResponse));
  int failed = 0;
  for (int i = 0; i < kRequests; ++i) {
    fixture.client->Send(fixture.Request(), [&](const Result& result) {
      failed += !result && result.error().kind == ClientErrorKind::kTooLarge ? 1 : 0;
    });
  }
  std::size_t most_held = 0;
  TargetRequest other = fixture.Request();
  other.address = "127.0.0.1:" + std::to_string(sound.Port());
  EXPECT_TRUE(fixture.Fetch(other));
  EXPECT_TRUE(RunUntil(fixture.loop, [&] {
    most_held = std::max(most_held, fixture.client->HeldBytes());
    return failed == kRequests;
  }));
  EXPECT_GT(most_held, 0U);
  EXPECT_LE(most_held, kLimit);
  EXPECT_EQ(fixture.client->HeldBytes(), 0U);
}

}  // namespace
}  // namespace fireflyrun::http
