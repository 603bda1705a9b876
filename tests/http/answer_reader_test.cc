#include "http/answer_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>

#include "http/request_head.h"
#include "http/target_request.h"

namespace fireflyrun::http {
namespace {

TargetRequest EchoedRequest() {
  TargetRequest request;
  request.echo_header = {"Request-Tag", "mine"};
  return request;
}

const std::string kStray =
    "HTTP/1.1 200 OK\r\nRequest-Tag: other\r\nContent-Length: 5\r\n\r\nother";
const std::string kInterim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
const std::string kChunked =
    "HTTP/1.1 200 OK\r\nRequest-Tag: mine\r\nTransfer-Encoding: chunked\r\n"
    "Trailer: X-Sum\r\n\r\n2\r\nmi\r\n2;x=y\r\nne\r\n0\r\nX-Sum: 1\r\n\r\n";
const std::string kSized = "HTTP/1.1 200 OK\r\nrequest-tag: mine \r\nContent-Length: 4\r\n\r\nmine";

ClientErrorKind ErrorOf(const std::string& bytes, const TargetRequest& request = {}) {
  AnswerReader reader(request);
  const auto consumed = reader.Consume(bytes);
  return (consumed ? reader.ConsumeEnd() : consumed).error().kind;
}

TEST(AnswerReaderTest, PropertyAnswerIsTheSameHoweverItsBytesArrive) {
  rc::check([] {
    const TargetRequest request = EchoedRequest();
    const std::string bytes = *rc::gen::element(kInterim, kStray, std::string()) +
                              *rc::gen::element(kStray, std::string()) +
                              *rc::gen::element(kChunked, kSized);
    AnswerReader reader(request);
    for (std::size_t begin = 0; begin < bytes.size();) {
      const std::size_t size = *rc::gen::inRange<std::size_t>(1, bytes.size() - begin + 1);
      RC_ASSERT(!reader.ConnectionStaysUsable());
      const auto complete = reader.Consume({bytes.data() + begin, size});
      begin += size;
      RC_ASSERT(complete.value() == (begin == bytes.size()));
    }
    RC_ASSERT(reader.ConnectionStaysUsable());
    const Response response = reader.TakeResponse();
    RC_ASSERT(response.body == "mine");
    RC_ASSERT(response.headers.size() == 1U);
    RC_ASSERT(response.headers[0].value == "mine");
  });
}

TEST(AnswerReaderTest, PropertyTruncatedAnswerIsNeverComplete) {
  rc::check([] {
    const TargetRequest request = EchoedRequest();
    const std::string bytes = *rc::gen::element(kChunked, kSized, kInterim + kSized);
    const std::size_t size = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(ErrorOf(bytes.substr(0, size), request) == ClientErrorKind::kConnectionLost);
  });
}

TEST(AnswerReaderTest, BytesThatAreNoAnswerAreBad) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (const std::string& bytes : {
           std::string("SSH-2.0-x\r\n"),
           std::string("HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n"),
           std::string("HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n"),
           std::string("HTTP/1.1 101 Go\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"),
           head + "Content-Encoding: gzip\r\nContent-Length: 0\r\n\r\n",
           head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
           head + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
           head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nokk",
           head + "Content-Length: -2\r\n\r\n",
           head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
           head + "Transfer-Encoding: chunked\r\n\r\n2\r\nokXX0\r\n\r\n",
           head + "Na me: x\r\n\r\n",
           head + "X: " + std::string(100'000, 'x') + "\r\n\r\n",
       }) {
    EXPECT_EQ(ErrorOf(bytes), ClientErrorKind::kBadAnswer) << bytes.substr(0, 100);
  }
}

std::string Repeated(const std::string& text, std::size_t bytes) {
  std::string repeated;
  while (repeated.size() < bytes) repeated += text;
  return repeated;
}

/// Reads in pieces, as from a connection, until that fails. Gives the most bytes of memory held.
std::size_t MostHeldOf(const std::string& bytes) {
  constexpr std::size_t kPieceBytes = 32'768;
  const TargetRequest request;
  AnswerReader reader(request);
  std::size_t most = 0;
  for (std::size_t begin = 0; begin < bytes.size(); begin += kPieceBytes) {
    const bool taken =
        reader.Consume(std::string_view(bytes).substr(begin, kPieceBytes)).has_value();
    most = std::max(most, reader.HeldBytes());
    if (!taken) return most;
  }
  ADD_FAILURE() << "all of it was taken";
  return most;
}

/// Guards against heads without end, whose short header lines take many times their bytes of
/// memory, at a node that has served a caller: review/6.
TEST(AnswerReaderTest, HeadsWithoutEndTakeLittleMemoryWhateverWasParsedBefore) {
  constexpr std::size_t kBytes = std::size_t{12} << 20;
  constexpr std::size_t kMostHeld = std::size_t{256} << 10;
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> heads = {
      head + Repeated("a: b\r\n", kBytes),
      head + Repeated("a:\r\n", kBytes),
      head + "X: " + std::string(kBytes, 'x'),
      head + std::string(kBytes, 'x'),
      head + "X: " + std::string(kBytes, ' '),
      "HTTP/1.1 200 " + std::string(kBytes, 'x'),
      Repeated("\r\n", kBytes),
      Repeated("HTTP/1.1 103 Early\r\n" + Repeated("a: b\r\n", 5'000) + "\r\n", kBytes),
  };
  for (const bool served_a_caller : {false, true}) {
    ASSERT_TRUE(!served_a_caller || ParseRequestHead("GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
    for (const std::string& text : heads) {
      EXPECT_LE(MostHeldOf(text), kMostHeld) << text.substr(0, 40);
    }
  }
}

TEST(AnswerReaderTest, HeadersAreHeldByTheMemoryThatTheyTake) {
  const TargetRequest request;
  AnswerReader reader(request);
  ASSERT_TRUE(reader.Consume("HTTP/1.1 200 OK\r\n" + Repeated("a: b\r\n", 3'000)));
  EXPECT_GE(reader.HeldBytes(), 500 * sizeof(Header));
  ASSERT_TRUE(reader.Consume("Content-Length: 100\r\n\r\nx"));
  EXPECT_GE(reader.HeldBytes(), 500 * sizeof(Header) + 100);
}

/// A head has the same limit in whatever pieces it arrives, and whatever was parsed before.
TEST(AnswerReaderTest, HeadsUpToTheLimitAreTaken) {
  constexpr std::size_t kMostBytes = std::size_t{64} << 10;
  const std::string begin = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: ";
  const std::string end = "\r\n\r\n";
  const std::string value(kMostBytes - begin.size() - end.size(), 'x');
  for (const std::size_t piece_bytes : {std::size_t{1}, std::size_t{4'096}, 2 * kMostBytes}) {
    for (const bool too_long : {false, true}) {
      std::string bytes = begin + value;
      if (too_long) bytes += 'x';
      bytes += end;
      bytes += "ok";
      const TargetRequest request;
      AnswerReader reader(request);
      tl::expected<bool, ClientError> taken = false;
      for (std::size_t at = 0; at < bytes.size() && taken; at += piece_bytes) {
        taken = reader.Consume(std::string_view(bytes).substr(at, piece_bytes));
      }
      EXPECT_EQ(taken.has_value(), !too_long) << piece_bytes;
    }
  }
}

/// Lines that are no status line, and one with a status of four digits that http_parser takes for
/// 200.
const std::vector<std::string> kMalformedStatusLines = {
    "HTTP/1.1 0200 OK", "HTTP/1.1 00200 OK", "HTTP/1.1 000 No",  "HTTP/1.1 000",
    "HTTP/1.1 20 OK",   "HTTP/1.1 2 OK",     "HTTP/1.1 2000 OK", "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",   "HTTP/1.1 099 X",    "HTTP/1.1 -01 X",   "HTTP/1.1 OK",
    "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",  "HTTP/1.1 200\tOK", "HTTP/1.1 200x OK",
    "HTTP/01.1 200 OK", "HTTP/1.10 200 OK",  "HTTP/2.0 200 OK",  "http/1.1 200 OK",
    "HTTP/1 200 OK",    "HTTP/1.1",
};

/// Guards against a status that isn't three digits, which callers got as an answer.
TEST(AnswerReaderTest, StatusLinesThatAreNotProperAreNoAnswers) {
  for (const std::string& line : kMalformedStatusLines) {
    const std::string answer = line + "\r\nContent-Length: 0\r\n\r\n";
    EXPECT_EQ(ErrorOf(answer), ClientErrorKind::kBadAnswer) << line;
    EXPECT_EQ(ErrorOf(kInterim + answer), ClientErrorKind::kBadAnswer) << line;
    const TargetRequest request;
    AnswerReader reader(request);
    tl::expected<bool, ClientError> taken = false;
    for (std::size_t at = 0; at < answer.size() && taken; ++at) {
      taken = reader.Consume(std::string_view(answer).substr(at, 1));
    }
    EXPECT_FALSE(taken) << line;
  }
}

TEST(AnswerReaderTest, StatusLinesWithoutAReasonAreTaken) {
  for (const std::string line :
       {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 A b c"}) {
    const TargetRequest request;
    AnswerReader reader(request);
    EXPECT_TRUE(reader.Consume(line + "\r\nContent-Length: 0\r\n\r\n").value_or(false)) << line;
  }
}

TEST(AnswerReaderTest, BodyOverTheLimitIsTooLarge) {
  TargetRequest request;
  request.max_response_bytes = 4;
  const std::string head = "HTTP/1.1 200 OK\r\n";
  EXPECT_EQ(ErrorOf(head + "Content-Length: 5\r\n\r\n", request), ClientErrorKind::kTooLarge);
  EXPECT_EQ(ErrorOf(head + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345", request),
            ClientErrorKind::kTooLarge);
  EXPECT_EQ(ErrorOf(head + "\r\n12345", request), ClientErrorKind::kTooLarge);
  request.max_response_bytes = 5;
  EXPECT_EQ(ErrorOf(head + "Content-Length: 5\r\n\r\n1234", request),
            ClientErrorKind::kConnectionLost);
}

TEST(AnswerReaderTest, AnswersToOtherRequestsAreSkippedAFewTimes) {
  const TargetRequest request = EchoedRequest();
  AnswerReader reader(request);
  EXPECT_TRUE(reader.Consume(kStray + kStray + kStray + kSized).value());
  EXPECT_EQ(reader.StrayAnswers(), 3U);
  EXPECT_EQ(ErrorOf(kStray + kStray + kStray + kStray + kSized, request),
            ClientErrorKind::kBadAnswer);
}

TEST(AnswerReaderTest, AnswerWithoutItsEchoIsOnlyTakenAsAFailure) {
  const TargetRequest request = EchoedRequest();
  EXPECT_EQ(ErrorOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", request),
            ClientErrorKind::kBadAnswer);
  AnswerReader reader(request);
  EXPECT_TRUE(reader.Consume("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n").value());
  EXPECT_FALSE(reader.ConnectionStaysUsable());
  EXPECT_EQ(reader.TakeResponse().status, 503);
}

TEST(AnswerReaderTest, HeadersOfTheConnectionAreDropped) {
  const TargetRequest request;
  AnswerReader reader(request);
  EXPECT_TRUE(reader
                  .Consume("HTTP/1.1 200 OK\r\nX-Kept: 1\r\nConnection: x-hop, Keep-Alive\r\n"
                           "X-Hop: 1\r\nKeep-Alive: max=9, timeout=7\r\nUpgrade: h2c\r\nTE: x\r\n"
                           "Proxy-Authenticate: x\r\nContent-Length: 0\r\nTrailer: x\r\n\r\n")
                  .value());
  EXPECT_EQ(reader.KeepAliveTimeout(), std::chrono::seconds(7));
  const Response response = reader.TakeResponse();
  ASSERT_EQ(response.headers.size(), 1U);
  EXPECT_EQ(response.headers[0].name, "X-Kept");
}

}  // namespace
}  // namespace fireflyrun::http
